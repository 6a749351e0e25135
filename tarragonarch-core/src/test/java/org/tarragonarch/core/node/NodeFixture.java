package org.tarragonarch.core.node;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.event.TaskShape;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.service.CallerDefinition;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.ServiceObjective;
import org.tarragonarch.model.service.TeamDefinition;

/** A serving node with one or two endpoints and a clock that the test advances. */
public final class NodeFixture {
    public static final KindName NOT_IDEMPOTENT = KindName.of("word-count");
    public static final KindName IDEMPOTENT = KindName.of("spelling");
    public static final Duration DEADLINE = Duration.ofSeconds(10);
    static final Duration EXPECTED_RUN_TIME = Duration.ofMillis(100);

    private static final ServiceName SERVICE = ServiceName.of("proof-board");
    private static final int MAX_TASKS = 110;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final ContentDigest DIGEST = ContentDigest.of("text".getBytes(StandardCharsets.UTF_8));

    private final EntryNode node;
    private final List<Action> actions = new ArrayList<>();
    private long nowNanos = 1;
    private long sequence;

    private NodeFixture(int slots, int maxQueuedTasks, int endpoints) {
        NodeIdentity identity = new NodeIdentity(
                NodeId.of("hobart-1"), Incarnation.of(1), FailureDomain.of("hobart"), new Address("127.0.0.1", 1));
        this.node = EntryNode.create(identity, NodePolicy.DEFAULT, 7);
        handle(new TimePassed());
        handle(new VmListRead(IntStream.rangeClosed(1, endpoints)
                .mapToObj(number -> endpoint(number, slots))
                .collect(ImmutableList.toImmutableList())));
        handle(new ConfigurationLoaded(catalog(maxQueuedTasks), "test"));
        actions.clear();
    }

    static NodeFixture serving(int slots) {
        return new NodeFixture(slots, 200, 1);
    }

    static NodeFixture servingWithTwoEndpoints(int slots) {
        return new NodeFixture(slots, 200, 2);
    }

    static NodeFixture serving(int slots, int maxQueuedTasks) {
        return new NodeFixture(slots, maxQueuedTasks, 1);
    }

    private static VmRecord endpoint(int number, int slots) {
        return new VmRecord(
                "hobart-w" + number,
                VmRole.ENDPOINT,
                FailureDomain.of("hobart"),
                new Address("127.0.0.1", 1 + number),
                VmState.LIVE,
                ImmutableSet.of(SERVICE),
                slots);
    }

    private static ServiceCatalog catalog(int maxQueuedTasks) {
        ImmutableMap.Builder<TeamName, TeamDefinition> teams = ImmutableMap.builder();
        ImmutableMap.Builder<CallerName, CallerDefinition> callers = ImmutableMap.builder();
        for (String name : List.of("authors", "members")) {
            TeamName team = TeamName.of(name);
            teams.put(team, new TeamDefinition(team, 1, 1_000));
            callers.put(CallerName.of(name), new CallerDefinition(CallerName.of(name), team, DIGEST));
        }
        ServiceDefinition service = new ServiceDefinition(
                SERVICE,
                ServiceObjective.RESPONSE_TIME,
                ImmutableMap.of(NOT_IDEMPOTENT, kind(NOT_IDEMPOTENT, false), IDEMPOTENT, kind(IDEMPOTENT, true)),
                ImmutableSet.of(CallerName.of("authors"), CallerName.of("members")),
                1_000,
                maxQueuedTasks);
        return new ServiceCatalog(
                ConfigurationVersion.of(1),
                DIGEST,
                ImmutableMap.of(SERVICE, service),
                teams.build(),
                callers.build(),
                ImmutableMap.of(),
                ImmutableSet.of());
    }

    private static KindDefinition kind(KindName name, boolean idempotent) {
        return new KindDefinition(name, idempotent, MAX_TASKS, MAX_BODY_BYTES, DEADLINE, EXPECTED_RUN_TIME);
    }

    void handle(Event event) {
        node.handle(nowNanos, event, actions::add);
    }

    void advance(Duration time) {
        advanceAndHandle(time, new TimePassed());
    }

    /** Advances the clock and then handles an event, without a wake-up in between. */
    void advanceAndHandle(Duration time, Event event) {
        nowNanos += time.toNanos();
        handle(event);
    }

    SubmissionId submit(SubmissionForm form, KindName kind, int tasks) {
        return submit("authors", form, kind, tasks, Optional.empty());
    }

    SubmissionId submitKeyed(KindName kind, String key) {
        return submit("authors", SubmissionForm.JOB, kind, 1, Optional.of(key));
    }

    SubmissionId submit(String caller, SubmissionForm form, KindName kind, int tasks, Optional<String> key) {
        SubmissionId id = new SubmissionId(NodeId.of("hobart-1"), Incarnation.of(1), sequence++);
        handle(new SubmissionArrived(
                id,
                form,
                CallerName.of(caller),
                SERVICE,
                kind,
                key.map(IdempotencyKey::new),
                DIGEST,
                IntStream.range(0, tasks)
                        .mapToObj(index -> new TaskShape(10, Optional.empty()))
                        .collect(ImmutableList.toImmutableList()),
                Optional.empty()));
        return id;
    }

    void endTask(SendTask send, SendResult result) {
        handle(new TaskEnded(send.task(), send.attempt(), send.endpoint(), result, false, "test"));
    }

    <A extends Action> List<A> allActions(Class<A> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <A extends Action> A lastAction(Class<A> type) {
        List<A> found = allActions(type);
        return found.get(found.size() - 1);
    }

    Problem problemOf(SubmissionId submission) {
        List<Problem> found = allActions(AnswerProblem.class).stream()
                .filter(answer -> answer.submission().equals(submission))
                .map(AnswerProblem::problem)
                .toList();
        assertEquals(found.size(), 1, "answers of " + submission);
        return found.get(0);
    }
}
