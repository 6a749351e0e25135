package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.testng.annotations.Test;

/** Tests which runs are stopped because they take too long or make no progress. */
public final class StallDetectorTest {
    private static final int HEALTHY_JOBS = 12;

    /** Returns a placer whose endpoints are known to report progress. */
    private static Placer reporting(PlacerFixture fixture) {
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = 900);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        for (int job = 1; job <= HEALTHY_JOBS; job++) {
            placer.offer(PlacerFixture.offer(job, 2, 900, PlacerFixture.ORIGIN, false));
            fixture.timers.advance(1_000);
        }
        return placer;
    }

    private static void passReviewed(PlacerFixture fixture, Placer placer, long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            fixture.timers.advance(100);
            placer.review();
        }
    }

    /**
     * Guards against stragglers, 3% of the tasks with seven times the expected run time, that are stopped at four times
     * the expected run time although they make progress, and have to run from the start elsewhere.
     */
    @Test
    public void testReview_stragglerWithProgressContinues() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = reporting(fixture);
        int startedBefore = fixture.ledger.starts();
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = 7 * 900);
        placer.offer(PlacerFixture.patientOffer(99, 1, 900));
        passReviewed(fixture, placer, 7 * 900 + 200);
        assertEquals(fixture.ledger.starts(), startedBefore + 1);
        assertEquals(fixture.verdicts.size(), HEALTHY_JOBS + 1);
    }

    /** Guards against a run that is never restarted although it is listed without any progress. */
    @Test
    public void testReview_runWithoutAnyProgressIsRestarted() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = reporting(fixture);
        int startedBefore = fixture.ledger.starts();
        fixture.endpoint(1).stalls = true;
        fixture.endpoint(2).stalls = true;
        placer.offer(PlacerFixture.patientOffer(99, 1, 900));
        passReviewed(fixture, placer, 400);
        assertEquals(fixture.ledger.starts(), startedBefore + 2);
    }

    /** Guards against a slow run, at 300 ms per percent, that is considered stalled because others need 10 ms. */
    @Test
    public void testCheckProgress_slowRunIsNotStalled() {
        assertEquals(percentsUntilStopped(300, 20), 20);
    }

    /** Guards against a run that stalls midway and is not stopped because it made progress before. */
    @Test
    public void testCheckProgress_runThatStopsProgressingIsStalled() {
        assertEquals(percentsUntilStopped(300, 3), 3);
    }

    /** Lists a run every 100 ms while it progresses up to the last percent; returns the percent at which it stopped. */
    private static int percentsUntilStopped(long millisPerPercent, int last) {
        PlacerFixture fixture = new PlacerFixture(1);
        ProgressReports progress = new ProgressReports();
        for (int report = 0; report < 20; report++) {
            progress.recordAdvance();
        }
        HeldEndpoint endpoint = PendingJobsTest.endpoint(fixture);
        PlacedTask task = PendingJobsTest.job(1, 1).tasks().get(0);
        Reservation reservation =
                new Reservation(task, task.allocateRun(), task.job().taskResources(), 0);
        ReservedCapacity reserved =
                new ReservedCapacity(fixture.entries.get(0).capacity(), new ShareTally(), new UnlimitedAuthority());
        reserved.reserve(reservation);
        task.setPlacement(endpoint, reservation);
        StallDetector detector = new StallDetector(reserved, new EndpointHealth(), new EndpointSpeed(), progress);
        detector.checkProgress(reservation, 0, 60);
        int percent = 0;
        for (long now = 100; now <= 20 * millisPerPercent && reservation.shouldRun(); now += 100) {
            percent = (int) Math.min(last, now / millisPerPercent);
            detector.checkProgress(reservation, percent, now);
        }
        assertEquals(reservation.shouldRun(), last == 20);
        return percent;
    }
}
