package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.Test;

/** Verdicts of a holder without endpoints; {@link PlacerTest} tests those on jobs with runs. */
public final class JobLifecycleTest {
    private final VirtualTimers timers = new VirtualTimers();
    private final List<String> verdicts = new ArrayList<>();
    private final RecentEnds recentEnds = new RecentEnds(timers);
    private final JobLifecycle jobs = jobs();

    private JobLifecycle jobs() {
        HeldShards shards = new HeldShards(shard -> true);
        PendingShares pending = new PendingShares();
        PoolShares poolShares = new PoolShares(SharePlan.NONE, shards.tallies(), share -> 0);
        PoolCapacity capacity = new PoolCapacity(shards.endpoints());
        return new JobLifecycle(
                shards,
                pending,
                poolShares,
                capacity,
                new JobFactory(shards, new RunTimes(), poolShares, recentEnds, timers),
                new TasksAwaitingOrigin(new UnlimitedAuthority(), new PlacementObserver() {}),
                timers,
                new RecordingListener(verdicts));
    }

    /** Guards against a client that retries at once, or only after its whole objective, while no endpoint is known. */
    @Test
    public void testOffer_noEndpoints() {
        JobLifecycleTest test = new JobLifecycleTest();
        test.jobs.offer(PlacerFixture.offer(1, 2));
        assertEquals(test.verdicts, ImmutableList.of("declined", "DECLINED, retry after 1000 ms"));
    }

    /** Guards against the answer "not run" to a client while runs of an earlier holder may be under way. */
    @Test
    public void testReturnAll_earlierRunsUnresolved() {
        JobLifecycleTest test = new JobLifecycleTest();
        test.jobs.offer(PlacerFixture.repeatedOffer(1, 2, 60));
        test.jobs.returnAll();
        assertEquals(test.verdicts, ImmutableList.of("HOLD_LOST, retry after 0 ms"));
    }

    /** Guards against a verdict on a job that was withdrawn or whose origin is lost. */
    @Test
    public void testWithdraw_noVerdictAfterwards() {
        JobLifecycleTest test = new JobLifecycleTest();
        test.jobs.offer(PlacerFixture.repeatedOffer(1, 2, 60));
        test.jobs.offer(PlacerFixture.repeatedOffer(2, 2, 60));
        test.jobs.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        test.jobs.originLost(PlacerFixture.ORIGIN);
        test.jobs.returnAll();
        test.timers.advance(2_000);
        assertEquals(test.verdicts, ImmutableList.of());
    }

    /** Guards against a job that is answered as failed before the next holder has found what is left of its runs. */
    @Test
    public void testOffer_attemptsUsedWhileEarlierRunsAreUnresolved() {
        JobLifecycleTest test = new JobLifecycleTest();
        TaskName task = TaskName.of(PlacerFixture.id(1), 0, 0);
        for (int run = 1; run <= 3; run++) {
            test.recentEnds.recordFailedRun(new TaskRun(task, run));
        }
        test.jobs.offer(PlacerFixture.repeatedOffer(1, 2, 60));
        assertEquals(test.verdicts, ImmutableList.of());
        test.timers.advance(2_000);
        assertEquals(test.verdicts, ImmutableList.of("FAILED, retry after 0 ms"));
    }

    /** Records verdicts. */
    private record RecordingListener(List<String> verdicts) implements PlacerListener {
        @Override
        public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
            verdicts.add(verdict + ", retry after " + retryMillis + " ms");
        }

        @Override
        public void declined(NodeId origin, JobId job, CompletionEstimate estimate) {
            verdicts.add("declined");
        }

        @Override
        public void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {
            verdicts.add("run ended badly");
        }

        @Override
        public void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {
            verdicts.add("endpoint restarted");
        }

        @Override
        public void fenced(FailureDomain shard, FencingToken token) {
            verdicts.add("fenced");
        }
    }
}
