package org.tarragonarch.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.task.JobId;
import org.testng.annotations.Test;

/** How long, and how many, cancelled jobs are kept and repeated. */
public final class CancelledJobsTest {
    private static final long RETENTION_MILLIS = 120_000;

    private final VirtualTimers timers = new VirtualTimers();
    private final CancelledJobs cancelled = new CancelledJobs(timers, RETENTION_MILLIS);

    private static JobId job(int number) {
        return new JobId(String.format("%016x", number));
    }

    /** Guards against cancellations that are kept for ever, or for less than a client may rely on them. */
    @Test
    public void testContains_expires() {
        CancelledJobsTest test = new CancelledJobsTest();
        test.cancelled.add(job(1), CancelSource.CLIENT);
        test.timers.advance(RETENTION_MILLIS - 1);
        assertTrue(test.cancelled.contains(job(1)));
        test.timers.advance(1);
        assertFalse(test.cancelled.contains(job(1)));
        assertEquals(test.cancelled.latest(CancelSource.CLIENT), ImmutableList.of());
    }

    /** Guards against a second cancellation that expires with the first. */
    @Test
    public void testAdd_again() {
        CancelledJobsTest test = new CancelledJobsTest();
        test.cancelled.add(job(1), CancelSource.CLIENT);
        test.cancelled.add(job(2), CancelSource.CLIENT);
        test.timers.advance(RETENTION_MILLIS / 2);
        test.cancelled.add(job(1), CancelSource.CLIENT);
        test.timers.advance(RETENTION_MILLIS / 2);
        assertTrue(test.cancelled.contains(job(1)));
        assertFalse(test.cancelled.contains(job(2)));
    }

    /** Guards against nodes that restart in turn and repeat a cancellation to each other for ever. */
    @Test
    public void testAdd_repetitionKeepsAge() {
        CancelledJobsTest test = new CancelledJobsTest();
        test.cancelled.add(job(1), CancelSource.REPETITION);
        test.cancelled.add(job(2), CancelSource.CLIENT);
        test.timers.advance(RETENTION_MILLIS / 2);
        test.cancelled.add(job(1), CancelSource.REPETITION);
        assertEquals(test.cancelled.latest(CancelSource.CLIENT), ImmutableList.of(job(2)));
        assertEquals(test.cancelled.latest(CancelSource.PEER), ImmutableList.of());
        test.timers.advance(RETENTION_MILLIS / 2);
        assertFalse(test.cancelled.contains(job(1)));
    }

    /** Guards against a node that stops to repeat its clients' cancellations because a peer has asked for them too. */
    @Test
    public void testAdd_peerDoesNotReplaceClient() {
        CancelledJobsTest test = new CancelledJobsTest();
        test.cancelled.add(job(1), CancelSource.REPETITION);
        test.cancelled.add(job(1), CancelSource.CLIENT);
        test.cancelled.add(job(1), CancelSource.PEER);
        assertEquals(test.cancelled.latest(CancelSource.CLIENT), ImmutableList.of(job(1)));
    }

    /** Guards against unbounded memory while clients cancel faster than cancellations expire. */
    @Test
    public void testAdd_bounded() {
        CancelledJobsTest test = new CancelledJobsTest();
        for (int number = 0; number <= CancelledJobs.MAX_JOBS; number++) {
            test.cancelled.add(job(number), CancelSource.CLIENT);
        }
        assertFalse(test.cancelled.contains(job(0)));
        assertTrue(test.cancelled.contains(job(1)));
        assertTrue(test.cancelled.contains(job(CancelledJobs.MAX_JOBS)));
    }

    /** Guards against more repeated cancellations than a connection can queue, and against those that are oldest. */
    @Test
    public void testLatest_inOrder() {
        CancelledJobsTest test = new CancelledJobsTest();
        for (int number = 0; number < CancelledJobs.MAX_REPEATED + 5; number++) {
            test.cancelled.add(job(number), CancelSource.CLIENT);
        }
        ImmutableList<JobId> repeated = test.cancelled.latest(CancelSource.CLIENT);
        assertEquals(repeated.size(), CancelledJobs.MAX_REPEATED);
        assertEquals(repeated.get(0), job(5));
        assertEquals(repeated.get(CancelledJobs.MAX_REPEATED - 1), job(CancelledJobs.MAX_REPEATED + 4));
    }
}
