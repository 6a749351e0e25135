package org.tarragonarch.entry.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.ClaimResult;
import org.tarragonarch.core.event.ClaimsRead;
import org.tarragonarch.core.event.ClaimsUncertain;
import org.tarragonarch.core.event.ClaimsWritten;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.ConfigurationRowRead;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.EndpointDrainRequested;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.event.PeerReported;
import org.tarragonarch.core.event.PlatformFailed;
import org.tarragonarch.core.event.PlatformPart;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.event.TaskShape;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.core.node.EntryNode;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.Claim;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.settings.CatalogReader;
import org.tarragonarch.settings.SettingsException;
import org.testng.annotations.Test;

public final class TraceReplayTest {
    private static final NodeId NODE = NodeId.of("hobart-1");
    private static final FailureDomain DOMAIN = FailureDomain.of("hobart");
    private static final EndpointId ENDPOINT = EndpointId.of("hobart-w1");
    private static final ServiceName SERVICE = ServiceName.of("proof-board");
    private static final CallerName CALLER = CallerName.of("upload-page");
    private static final KindName KIND = KindName.of("word-count");
    private static final ConfigurationVersion VERSION = ConfigurationVersion.of(1);
    private static final ContentDigest DIGEST = ContentDigest.of(new byte[] {1});
    private static final SubmissionId SUBMISSION = new SubmissionId(NODE, Incarnation.of(7), 1);
    private static final ClaimKey KEY = new ClaimKey(SERVICE, CALLER, new IdempotencyKey("k"));
    private static final Claim CLAIM = new Claim(KEY, new ClaimToken("t"), NODE, Incarnation.of(7), DIGEST);
    private static final TraceHeader HEADER = new TraceHeader(
            new NodeIdentity(NODE, Incarnation.of(7), DOMAIN, Address.parse("127.0.0.1:1")), NodePolicy.DEFAULT, 42);

    @Test
    public void testReplay_givesTheSameActions() throws Exception {
        Path file = Files.createTempFile("trace", ".jsonl");
        try {
            List<Action> recorded = new ArrayList<>();
            EntryNode node = HEADER.newNode();
            try (TraceWriter trace = TraceWriter.start(file, HEADER)) {
                long now = 1_000;
                for (Event event : everyEvent()) {
                    now += 1_000_000;
                    trace.record(now, event);
                    node.handle(now, event, recorded::add);
                }
            }
            List<Action> replayed = new ArrayList<>();
            long events = TraceReplay.replay(file, (line, action) -> replayed.add(action));

            assertEquals(events, everyEvent().size());
            assertEquals(replayed, recorded);
            assertTrue(recorded.stream().anyMatch(SendTask.class::isInstance), "some task was sent");
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void testJson_everyEventTypeIsReadBack() throws Exception {
        Set<Class<?>> seen = everyEvent().stream().map(Object::getClass).collect(Collectors.toSet());
        assertEquals(seen, ImmutableSet.copyOf(Event.class.getPermittedSubclasses()));
        for (Event event : everyEvent()) {
            TraceLine line = new TraceLine(5, event);
            assertEquals(TraceJson.read(TraceJson.write(line), TraceLine.class), line);
        }
    }

    @Test
    public void testReplay_notATrace() throws Exception {
        Path file = Files.createTempFile("trace", ".jsonl");
        try {
            Files.writeString(file, "time=now\n");
            expectThrows(IOException.class, () -> TraceReplay.replay(file, (line, action) -> {}));
        } finally {
            Files.delete(file);
        }
    }

    private static ImmutableList<Event> everyEvent() throws SettingsException {
        Optional<Problem> problem = Optional.of(Problem.of(ProblemCode.TASK_FAILED, Step.RUN, "w", "d")
                .withTask(new TaskId(SUBMISSION, 0))
                .withRetryAfter(Duration.ofMillis(5)));
        ClaimResult result = new ClaimResult(CLAIM, Optional.of(CLAIM));
        PeerReport report = new PeerReport(
                NodeId.of("hobart-2"),
                Incarnation.of(3),
                1,
                DOMAIN,
                NodePhase.SERVING,
                VERSION,
                ImmutableList.of(new EndpointLoad(ENDPOINT, 2)),
                true,
                ImmutableSet.of(),
                ImmutableSet.of(EndpointId.of("hobart-w9")));
        return ImmutableList.of(
                new TimePassed(),
                new ConfigurationRowRead(Optional.of(new ConfigurationRow(
                        VERSION, catalog().digest(), new ChangeId("c"), OperatorName.of("ann"), Instant.EPOCH))),
                new ConfigurationLoaded(catalog(), "object store"),
                new ConfigurationLoadFailed(VERSION, "object store", "out"),
                new VmListRead(ImmutableList.of(new VmRecord(
                        ENDPOINT.value(),
                        VmRole.ENDPOINT,
                        DOMAIN,
                        Address.parse("127.0.0.1:2"),
                        VmState.LIVE,
                        ImmutableSet.of(SERVICE),
                        8))),
                arrived(1, Optional.empty()),
                arrived(2, Optional.of(new IdempotencyKey("k"))),
                new TaskEnded(new TaskId(SUBMISSION, 0), 1, ENDPOINT, SendResult.SUCCEEDED, false, ""),
                new ProbeEnded(ENDPOINT, true, false),
                new PlatformFailed(PlatformPart.VM_LIST, "out"),
                new PeerReported(report),
                new ClaimsWritten(1, ImmutableList.of(result)),
                new ClaimsUncertain(2, true, "lost"),
                new ClaimsRead(2, ImmutableList.of(new ClaimResult(CLAIM, Optional.empty()))),
                new PeerAnswerAsked(NodeId.of("hobart-2"), 1, KEY),
                new PeerAnswerArrived(SUBMISSION, PeerAnswer.PROBLEM, problem),
                new CancelRequested(SUBMISSION, CancelCause.HANG_UP),
                new EndpointDrainRequested(ENDPOINT, true),
                new DrainRequested("test"));
    }

    private static SubmissionArrived arrived(long sequence, Optional<IdempotencyKey> key) {
        return new SubmissionArrived(
                new SubmissionId(NODE, Incarnation.of(7), sequence),
                SubmissionForm.JOB,
                CALLER,
                SERVICE,
                KIND,
                key,
                DIGEST,
                ImmutableList.of(
                        new TaskShape(5, Optional.of(Duration.ofMillis(200))), new TaskShape(6, Optional.empty())),
                Optional.of(Duration.ofSeconds(5)));
    }

    private static ServiceCatalog catalog() throws SettingsException {
        String token = "a".repeat(64);
        String text = """
                {"teams":{"proofreaders":{"max-running-tasks":200}},
                 "callers":{"upload-page":{"team":"proofreaders","token-sha256":"%s"}},
                 "operators":{"ann":{"role":"changer","token-sha256":"%s"}},
                 "services":{"proof-board":{"favours":"response-time","callers":["upload-page"],
                   "max-running-tasks":240,"max-queued-tasks":100,
                   "kinds":{"word-count":{"idempotent":false,"max-tasks":110,"max-body-bytes":1000,
                     "deadline":"30s","expected-run-time":"200ms"}}}}}
                """.formatted(token, token.replace('a', 'b'));
        return CatalogReader.read(VERSION, text.getBytes(StandardCharsets.UTF_8));
    }
}
