package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.task.JobService;
import org.testng.annotations.Test;

/** The end of a holder's authority over an origin's jobs: runs that outlive it, and runs that it ends too early. */
public final class AuthorityEndTest {
    private static final int FILLER = 1;
    private static final int JOB = 2;

    /** The time after which a client submits an unanswered job again, in milliseconds. */
    private static final long CLIENT_PAUSE_MILLIS = 1_300;

    /** Longer than the rest of a test, in milliseconds. */
    private static final long PERMANENT_STALL_MILLIS = 60_000;

    private final SeparatePoolsFixture cluster = new SeparatePoolsFixture();
    private JobService.Submission job;

    /** Returns a cluster in which a job submitted through a node of the first domain runs in the second. */
    private static AuthorityEndTest placedInOtherDomain() {
        AuthorityEndTest test = new AuthorityEndTest();
        SeparatePoolsFixture cluster = test.cluster;
        cluster.launcestonEndpoint.setRunMillis(PERMANENT_STALL_MILLIS);
        JobService.Submission filler =
                cluster.submit(cluster.hobartHolder, FILLER, SeparatePoolsFixture.TASKS_PER_ENDPOINT);
        cluster.timers.advance(300);
        test.job = cluster.submit(cluster.hobartNode, JOB, 1);
        cluster.timers.advance(100);
        assertEquals(cluster.launcestonEndpoint.running(), 1);
        filler.clientLeft();
        cluster.timers.advance(100);
        assertEquals(cluster.hobartEndpoint.running(), 0);
        return test;
    }

    /** Makes the connections between two nodes silent, those that they open later too. */
    private void separate(FakeNode one, FakeNode other) {
        cluster.connections.stallAll(one.id(), other.id(), PERMANENT_STALL_MILLIS);
        cluster.connections.stallAll(other.id(), one.id(), PERMANENT_STALL_MILLIS);
    }

    /**
     * Guards against two runs of a job whose withdrawal is lost, and whose holder is suspended just before it misses
     * the origin: the client comes again 1.3 s after it left, when its leases have to be over.
     */
    @Test
    public void testClientLeft_holderIsSuspendedBeforeItMissesOrigin() {
        List<String> broken = new ArrayList<>();
        for (int suspendedAfter = 0; suspendedAfter < 700; suspendedAfter += 50) {
            AuthorityEndTest test = placedInOtherDomain();
            SeparatePoolsFixture cluster = test.cluster;
            test.separate(cluster.hobartNode, cluster.launcestonHolder);
            test.job.clientLeft();
            cluster.timers.advance(suspendedAfter);
            cluster.launcestonMachine.suspend(PERMANENT_STALL_MILLIS);
            cluster.timers.advance(CLIENT_PAUSE_MILLIS - suspendedAfter);
            cluster.submit(cluster.hobartHolder, JOB, 1);
            cluster.timers.advance(1_000);
            test.addTo(broken, "suspended after " + suspendedAfter + " ms");
        }
        assertEquals(broken.toString(), "[]");
    }

    /**
     * Guards against two runs of a job whose holder's clock stands still several times, each time for less than an
     * endpoint takes to answer a poll, so that no answer shows it.
     */
    @Test
    public void testClockStandsStill_eachStopIsShorterThanAPoll() {
        List<String> broken = new ArrayList<>();
        for (int phase = 0; phase < 200; phase += 20) {
            for (int before = 0; before < 300; before += 50) {
                AuthorityEndTest test = placedInOtherDomain();
                SeparatePoolsFixture cluster = test.cluster;
                cluster.timers.advance(phase);
                test.separate(cluster.hobartNode, cluster.launcestonHolder);
                for (int stop = 0; stop < 4; stop++) {
                    cluster.timers.advance(110);
                    cluster.launcestonMachine.suspend(90);
                    cluster.timers.advance(90);
                }
                cluster.timers.advance(before);
                cluster.launcestonMachine.suspend(PERMANENT_STALL_MILLIS);
                cluster.timers.advance(2_000);
                test.addTo(broken, "phase " + phase + " ms, suspended after " + (800 + before) + " ms");
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    /** Guards against runs that are stopped because the clock of their holder stood still for a moment. */
    @Test
    public void testClockStandsStill_runsGoOnWhereNobodyIsMissed() {
        List<String> broken = new ArrayList<>();
        for (int phase = 0; phase < 200; phase += 20) {
            AuthorityEndTest test = placedInOtherDomain();
            test.cluster.timers.advance(phase);
            test.cluster.launcestonMachine.suspend(150);
            test.addStopsTo(broken, 2_000, "phase " + phase + " ms");
        }
        assertEquals(broken.toString(), "[]");
    }

    private void addTo(List<String> broken, String what) {
        if (!cluster.ledger.violations().isEmpty()) {
            broken.add(what + ": " + cluster.ledger.violations());
        }
    }

    /** Adds the time at which the run in the second domain is no longer in progress, if there is one. */
    private void addStopsTo(List<String> broken, int millis, String what) {
        for (int after = 0; after < millis; after++) {
            cluster.timers.advance(1);
            if (cluster.launcestonEndpoint.running() == 0) {
                broken.add(what + ": stopped after " + after + " ms");
                return;
            }
        }
    }
}
