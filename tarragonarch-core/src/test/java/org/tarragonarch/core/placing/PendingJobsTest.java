package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.Offer;
import org.testng.annotations.Test;

/** The queue of pending jobs, whose sums are read with every offer and updated with every change. */
public final class PendingJobsTest {
    private static final int JOBS = 60;
    private static final int STEPS = 20_000;
    private static final long EXPECTED_RUN_MILLIS = 60;

    static PlacedJob job(int number, int tasks) {
        Offer offer = PlacerFixture.offer(number, tasks);
        return new PlacedJob(
                offer, 1, EXPECTED_RUN_MILLIS, 1, JobTimes.of(offer, EXPECTED_RUN_MILLIS, 10L * number), ShareId.ALL);
    }

    /** Guards against sums that drift from the contents of the queue as jobs and tasks change in any order. */
    @Test
    public void testSums_matchRecomputation() {
        Random random = new Random(20261203);
        PlacerFixture fixture = new PlacerFixture(1);
        PendingJobs pending = new PendingJobs();
        List<PlacedJob> jobs = new ArrayList<>();
        for (int number = 1; number <= JOBS; number++) {
            jobs.add(job(number, 1 + random.nextInt(5)));
        }
        HeldEndpoint endpoint = endpoint(fixture);
        for (int step = 0; step < STEPS; step++) {
            PlacedJob job = jobs.get(random.nextInt(JOBS));
            PlacedTask task = job.tasks().get(random.nextInt(job.tasks().size()));
            switch (random.nextInt(6)) {
                case 0 -> pending.add(job);
                case 1 -> pending.remove(job);
                case 2 -> task.markUnresolved();
                case 3 -> task.markResolved();
                case 4 -> task.clearPlacement();
                default -> place(task, endpoint);
            }
            assertSums(pending, random.nextInt(1_000));
        }
    }

    static HeldEndpoint endpoint(PlacerFixture fixture) {
        return endpoint(fixture, 0);
    }

    static HeldEndpoint endpoint(PlacerFixture fixture, int index) {
        EndpointEntry entry = fixture.entries.get(index);
        EndpointLink link = new EndpointLink(
                entry,
                FencingToken.of(1, "10.0.0.1"),
                PlacingSettings.of(1_000, 50),
                fixture.orders,
                fixture.timers,
                new UnlimitedAuthority());
        return new HeldEndpoint(
                link, new NoOpEndpointListener(), new ProgressReports(), new UnansweredStarts(), new ShareTally());
    }

    private static void place(PlacedTask task, HeldEndpoint endpoint) {
        if (task.isWaiting()) {
            task.setPlacement(
                    endpoint,
                    new Reservation(task, task.allocateRun(), task.job().taskResources(), 0));
        }
    }

    private static void assertSums(PendingJobs pending, long nowMillis) {
        long tasks = 0;
        long millis = 0;
        for (PlacedJob job : pending.inOrder()) {
            long waiting = job.tasks().stream().filter(PlacedTask::isWaiting).count();
            tasks += waiting;
            millis += job.isOverdue(nowMillis) ? 0 : waiting * EXPECTED_RUN_MILLIS;
        }
        assertEquals(pending.waitingTasks(), tasks);
        assertEquals(pending.waitingTaskMillis(nowMillis), millis);
    }

    @Test
    public void testAfter_removedJob() {
        PendingJobs pending = new PendingJobs();
        PlacedJob first = job(1, 1);
        PlacedJob second = job(2, 1);
        pending.add(first);
        pending.add(second);
        assertEquals(pending.first(), Optional.of(first));
        pending.remove(first);
        assertEquals(pending.after(first), Optional.of(second));
        assertEquals(pending.after(second), Optional.empty());
    }

    @Test
    public void testAnyFitsInto_smallestNeed() {
        PendingJobs pending = new PendingJobs();
        assertFalse(pending.anyFitsInto(Long.MAX_VALUE));
        pending.add(job(1, 1));
        assertTrue(pending.anyFitsInto(PlacerFixture.TASK_MILLI_CORES));
        assertFalse(pending.anyFitsInto(PlacerFixture.TASK_MILLI_CORES - 1));
    }
}
