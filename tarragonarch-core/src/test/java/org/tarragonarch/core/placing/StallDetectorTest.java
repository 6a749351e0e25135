package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.testng.annotations.Test;

/** Which runs are stopped because they take too long or show no progress. */
public final class StallDetectorTest {
    private static final int HEALTHY_JOBS = 12;

    /** Returns a placer whose endpoints have shown that they report progress. */
    private static Placer reporting(PlacerFixture fixture) {
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = 900);
        Placer placer = fixture.placer(1);
        fixture.timers.pass(20);
        for (int job = 1; job <= HEALTHY_JOBS; job++) {
            placer.offer(PlacerFixture.offer(job, 2, 900, PlacerFixture.ORIGIN, false));
            fixture.timers.pass(1_000);
        }
        return placer;
    }

    private static void passReviewed(PlacerFixture fixture, Placer placer, long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            fixture.timers.pass(100);
            placer.review();
        }
    }

    /**
     * Load: 3% of tasks run seven times as long. Each was stopped at four times its expected time, although its
     * endpoint listed its progress all the time, and had to run all its length again elsewhere.
     */
    @Test
    public void testReview_stragglerThatProgressesGoesOn() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = reporting(fixture);
        int startedBefore = fixture.ledger.starts();
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = 7 * 900);
        placer.offer(PlacerFixture.patientOffer(99, 1, 900));
        passReviewed(fixture, placer, 7 * 900 + 200);
        assertEquals(fixture.ledger.starts(), startedBefore + 1);
        assertEquals(fixture.verdicts.size(), HEALTHY_JOBS + 1);
    }

    /** Guards against a run that is never restarted because others report progress and its own endpoint none. */
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

    /** Guards against a run that is slow, at 300 ms a percent, and taken to stall because others need 10 ms. */
    @Test
    public void testFollowProgress_slowRunIsNotStalled() {
        assertEquals(percentsUntilStopped(300, 20), 20);
    }

    /** Guards against a run that stalls halfway and is left alone since it has shown progress before. */
    @Test
    public void testFollowProgress_runThatStopsProgressingIsStalled() {
        assertEquals(percentsUntilStopped(300, 3), 3);
    }

    /** Lists a run every 100 ms as it progresses up to a percent, and returns how far it got until it was stopped. */
    private static int percentsUntilStopped(long millisPerPercent, int last) {
        PlacerFixture fixture = new PlacerFixture(1);
        ProgressReports progress = new ProgressReports();
        for (int report = 0; report < 20; report++) {
            progress.advanced();
        }
        HeldEndpoint endpoint = PendingJobsTest.endpoint(fixture);
        PlacedTask task = PendingJobsTest.job(1, 1).tasks().get(0);
        Reservation reservation =
                new Reservation(task, task.allocateRun(), task.job().taskResources(), 0);
        ReservedRoom room = new ReservedRoom(fixture.entries.get(0).capacity(), new ShareTally());
        room.reserve(reservation);
        task.setPlacement(endpoint, reservation);
        StallDetector detector = new StallDetector(room, new EndpointHealth(), new EndpointSpeed(), progress);
        detector.followProgress(reservation, 0, 60);
        int percent = 0;
        for (long now = 100; now <= 20 * millisPerPercent && reservation.wanted(); now += 100) {
            percent = (int) Math.min(last, now / millisPerPercent);
            detector.followProgress(reservation, percent, now);
        }
        assertEquals(reservation.wanted(), last == 20);
        return percent;
    }
}
