package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;

/** A placer with endpoints of 16 cores, for tasks of 7 cores and 60 ms: an endpoint can run two at a time. */
final class PlacerFixture {
    static final NodeId ORIGIN = NodeId.of("origin-1");
    static final long TASK_MILLI_CORES = 7_000;
    static final FailureDomain SHARD = FailureDomain.of("hobart");
    static final FailureDomain SECOND_SHARD = FailureDomain.of("launceston");

    /** The earlier runs of a job whose holder was just lost. */
    private static final EarlierRuns EARLIER = new EarlierRuns(1_050, ImmutableSet.of(SHARD));

    private static final long PATIENT_DEADLINE_MILLIS = 60_000;

    static final long FIRST_START_MILLIS = 1_700_000_000_000L;

    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);

    final VirtualTimers timers = new VirtualTimers();
    final Ledger ledger = new Ledger();
    final FakeOrders orders = new FakeOrders(timers, TASK_MILLI_CORES);
    final List<String> verdicts = new ArrayList<>();
    final List<EndpointEntry> entries = new ArrayList<>();
    final List<CompletionEstimate> estimates = new ArrayList<>();
    final List<EndKind> badEnds = new ArrayList<>();
    final List<String> restarted = new ArrayList<>();
    final Map<JobId, Settled> settled = new HashMap<>();
    final List<String> limitChanges = new ArrayList<>();
    SharePlan plan = SharePlan.NONE;
    int fenced;
    boolean listsComplete = true;

    PlacerFixture(int endpoints) {
        for (int i = 1; i <= endpoints; i++) {
            EndpointId id = EndpointId.of("w-" + i);
            orders.endpoints.put(id, new FakeEndpoint(timers, ledger, CAPACITY.milliCores()));
            entries.add(new EndpointEntry(id, "board", new Address("10.0.0." + i, 80), SHARD, false, CAPACITY, false));
        }
    }

    /** Returns a fixture whose endpoints run every task for this time. */
    static PlacerFixture running(int endpoints, long runMillis) {
        PlacerFixture fixture = new PlacerFixture(endpoints);
        fixture.setRunMillis(runMillis);
        return fixture;
    }

    /** Sets the run time of tasks that start from now on, at every endpoint. */
    void setRunMillis(long runMillis) {
        orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = runMillis);
    }

    /** Makes every endpoint report its start time, in its entry and its run lists. */
    PlacerFixture reportingStarts() {
        for (int number = 1; number <= entries.size(); number++) {
            endpoint(number).reportStart(FIRST_START_MILLIS);
            replaceIncarnation(number, FIRST_START_MILLIS);
        }
        return this;
    }

    /** Replaces the entry of an endpoint by that of the incarnation that started at this time. */
    void replaceIncarnation(int number, long startedMillis) {
        EndpointEntry entry = entries.get(number - 1);
        entries.set(number - 1, entry.withIncarnation(new EndpointIncarnation(entry.id(), startedMillis)));
    }

    FakeEndpoint endpoint(int number) {
        return orders.endpoints.get(EndpointId.of("w-" + number));
    }

    /** Returns whether any endpoint runs a task. */
    boolean isAnyTaskRunning() {
        return orders.endpoints.values().stream().anyMatch(endpoint -> endpoint.running() > 0);
    }

    /** Returns the number of the first endpoint that runs a task. */
    int endpointThatRuns() {
        return endpointThatRuns(run -> true);
    }

    /** Returns the number of the first endpoint that runs a task of the job. */
    int endpointThatRuns(JobId job) {
        return endpointThatRuns(run -> run.task().belongsTo(job));
    }

    private int endpointThatRuns(Predicate<TaskRun> matches) {
        for (int number = 1; number <= entries.size(); number++) {
            if (endpoint(number).runs().stream().anyMatch(matches)) {
                return number;
            }
        }
        throw new AssertionError("no endpoint has such a run");
    }

    void setFault(int number, FakeOrders.Fault fault) {
        orders.faults.put(EndpointId.of("w-" + number), fault);
    }

    /** Returns a placer that holds all endpoints as one shard. */
    Placer placer(long term) {
        Placer placer = emptyPlacer();
        placer.open(SHARD, token(term), ImmutableList.copyOf(entries));
        return placer;
    }

    /** Returns a placer that holds all endpoints as one shard and has read their lists. */
    Placer openedPlacer(long term) {
        Placer placer = placer(term);
        timers.advance(20);
        return placer;
    }

    /** Returns a placer that holds the first endpoints as one shard and the rest as a second. */
    Placer placerOfTwoShards(long term, int firstOfSecond) {
        Placer placer = emptyPlacer();
        placer.open(SHARD, token(term), ImmutableList.copyOf(entries.subList(0, firstOfSecond - 1)));
        List<EndpointEntry> second = entries.subList(firstOfSecond - 1, entries.size()).stream()
                .map(PlacerFixture::inSecondShard)
                .toList();
        placer.open(SECOND_SHARD, token(term), second);
        return placer;
    }

    /** Returns a placer that holds one endpoint alone. */
    Placer placerOfEndpoint(int number, long term) {
        Placer placer = emptyPlacer();
        placer.open(SHARD, token(term), ImmutableList.of(entries.get(number - 1)));
        return placer;
    }

    private static FencingToken token(long term) {
        return FencingToken.of(term, "10.1.0.1");
    }

    private static EndpointEntry inSecondShard(EndpointEntry entry) {
        return new EndpointEntry(
                entry.id(),
                entry.service(),
                entry.address(),
                SECOND_SHARD,
                entry.draining(),
                entry.capacity(),
                entry.cold());
    }

    /** Returns the entry with another capacity. */
    static EndpointEntry resized(EndpointEntry entry, Resources capacity) {
        return new EndpointEntry(
                entry.id(), entry.service(), entry.address(), entry.domain(), entry.draining(), capacity, entry.cold());
    }

    /** Returns the entry as that of an endpoint that has just started. */
    static EndpointEntry cold(EndpointEntry entry) {
        return new EndpointEntry(
                entry.id(), entry.service(), entry.address(), entry.domain(), entry.draining(), entry.capacity(), true);
    }

    private Placer emptyPlacer() {
        PlacerListener listener = new PlacerListener() {
            @Override
            public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
                verdicts.add(origin + " " + job.value().charAt(15) + " " + verdict);
                settled.put(job, new Settled(verdict, timers.nowMillis(), retryMillis));
            }

            @Override
            public void declined(NodeId origin, JobId job, CompletionEstimate estimate) {
                estimates.add(estimate);
            }

            @Override
            public void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {
                badEnds.add(kind);
            }

            @Override
            public void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {
                restarted.add(later.toString());
            }

            @Override
            public void shareLimited(ShareState state, boolean isLimited) {
                limitChanges.add(state.share().priority() + (isLimited ? " limited" : " free"));
            }

            @Override
            public void fenced(FailureDomain shard, FencingToken token) {
                fenced++;
            }
        };
        PlacingSettings settings = PlacingSettings.of(1_000, 50).withShares(plan);
        return new Placer(
                settings, orders, timers, listener, new RunTimes(), new UnlimitedAuthority(), shard -> listsComplete);
    }

    /** The last verdict on a job, its time and the retry time. */
    record Settled(Verdict verdict, long atMillis, long retryMillis) {}

    /** Returns a job of the queue of a priority. */
    static Offer offer(int number, int priority, int tasks, long estimateMillis) {
        String name = "checks-" + priority;
        QueueDefinition queue = new QueueDefinition(name, "h", "/p/", "board", priority, 3, 1.6, 60);
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), estimateMillis);
        return new Offer(new JobRequest(id(number), "x", step), queue, ORIGIN, 0, 3_000, EarlierRuns.NONE);
    }

    static JobId id(int number) {
        return new JobId(String.format("%016x", number));
    }

    static Offer offer(int number, int tasks) {
        return firstOffer(number, tasks, 60);
    }

    /** Returns a job that a client submits for the first time. */
    static Offer firstOffer(int number, int tasks, long estimateMillis) {
        return offer(number, tasks, estimateMillis, ORIGIN, false);
    }

    /** Returns a job that an earlier holder may have started. */
    static Offer repeatedOffer(int number, int tasks, long estimateMillis) {
        return offer(number, tasks, estimateMillis, ORIGIN, true);
    }

    /** Returns a job with a deadline of one minute, of a queue that allows three failed runs of a task. */
    static Offer patientOffer(int number, int tasks, long estimateMillis) {
        return patientOffer(number, tasks, estimateMillis, 3);
    }

    /** Returns a job with a deadline of one minute, of a queue that allows so many failed runs of a task. */
    static Offer patientOffer(int number, int tasks, long estimateMillis, int attempts) {
        QueueDefinition queue =
                new QueueDefinition("checks", "h", "/p/", "board", 0, attempts, 1.6, PATIENT_DEADLINE_MILLIS);
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), estimateMillis);
        JobRequest job = new JobRequest(id(number), "x", step);
        return new Offer(job, queue, ORIGIN, 0, PATIENT_DEADLINE_MILLIS, EarlierRuns.NONE);
    }

    static Offer offer(int number, int tasks, long estimateMillis, NodeId origin, boolean repeated) {
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), estimateMillis);
        return new Offer(
                new JobRequest(id(number), "x", step), queue, origin, 0, 3_000, repeated ? EARLIER : EarlierRuns.NONE);
    }
}
