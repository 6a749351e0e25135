package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tarragonarch.model.id.EndpointId;
import org.testng.annotations.Test;

/** Tests the placement of tasks of 60 ms on endpoints of different speeds; two tasks fit on one endpoint. */
public final class PlacerSpeedTest {
    private static final long NOMINAL_MILLIS = 60;
    private static final int ENDPOINTS = 20;

    private final Random random = new Random(20261203);
    private int lastJob;

    /** Offers enough jobs that every endpoint runs some of the tasks. */
    private void sendToAll(PlacerFixture fixture, Placer placer, long millis) {
        send(fixture, placer, millis, 8);
    }

    private void send(PlacerFixture fixture, Placer placer, long millis) {
        send(fixture, placer, millis, 2);
    }

    /** Offers a job every 15 ms, and reviews the placer periodically as a node does. */
    private void send(PlacerFixture fixture, Placer placer, long millis, int tasks) {
        for (long passed = 0; passed < millis; passed += 15) {
            lastJob++;
            placer.offer(PlacerFixture.offer(lastJob, tasks));
            fixture.timers.advance(15);
            if (passed % 195 == 0) {
                placer.review();
            }
        }
    }

    /** Offers jobs and returns the fraction of their runs that start on the first endpoints. */
    private double partOnFirst(int first, PlacerFixture fixture, Placer placer, long millis) {
        int before = startedOnFirst(first, fixture);
        int allBefore = fixture.ledger.starts();
        send(fixture, placer, millis);
        return (double) (startedOnFirst(first, fixture) - before) / (fixture.ledger.starts() - allBefore);
    }

    private static int startedOnFirst(int first, PlacerFixture fixture) {
        int started = 0;
        for (int number = 1; number <= first; number++) {
            started += fixture.endpoint(number).started();
        }
        return started;
    }

    private static void runMillis(PlacerFixture fixture, int from, int to, long millis) {
        for (int number = from; number <= to; number++) {
            fixture.endpoint(number).runMillis = millis;
        }
    }

    /**
     * Guards against endpoints that become five times slower and still get their share of tasks, all of which are late,
     * because they look as free as the others. Here 15% of the endpoints become slower.
     */
    @Test
    public void testOffer_someEndpointsBecomeFiveTimesSlower() {
        PlacerFixture fixture = new PlacerFixture(ENDPOINTS);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        send(fixture, placer, 1_500);
        runMillis(fixture, 1, 3, 5 * NOMINAL_MILLIS);
        send(fixture, placer, 1_500);
        double part = partOnFirst(3, fixture, placer, 1_500);
        assertTrue(part < 0.03, "part on slow endpoints " + part);
        assertTrue(placer.speeds().slowest() < 0.65, "slowest " + placer.speeds());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks on the slow half of a pool, which is too slow for the deadlines, while the rest is free. */
    @Test
    public void testOffer_bimodalPool() {
        PlacerFixture fixture = new PlacerFixture(ENDPOINTS);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        runMillis(fixture, 1, 10, 180);
        sendToAll(fixture, placer, 2_000);
        send(fixture, placer, 300);
        double part = partOnFirst(10, fixture, placer, 1_500);
        assertTrue(part < 0.1, "part on the slow half " + part);
    }

    /** Guards against tasks on the slowest of three speed groups while faster endpoints are free. */
    @Test
    public void testOffer_threeSpeeds() {
        PlacerFixture fixture = new PlacerFixture(ENDPOINTS);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        runMillis(fixture, 1, 7, 100);
        runMillis(fixture, 14, 20, 38);
        sendToAll(fixture, placer, 2_000);
        send(fixture, placer, 300);
        double part = partOnFirst(7, fixture, placer, 1_500);
        assertTrue(part < 0.1, "part on the slowest third " + part);
    }

    /** Guards against tasks on a failure domain that has become slower while the other one is free. */
    @Test
    public void testOffer_oneDomainSlower() {
        PlacerFixture fixture = new PlacerFixture(ENDPOINTS);
        Placer placer = fixture.placerOfTwoShards(1, 11);
        fixture.timers.advance(20);
        send(fixture, placer, 1_000);
        runMillis(fixture, 1, 10, 150);
        send(fixture, placer, 2_000);
        double part = partOnFirst(10, fixture, placer, 1_500);
        assertTrue(part < 0.1, "part on the slower domain " + part);
    }

    /**
     * Guards against endpoints that all count as slow after every endpoint became twice as slow, which would favor the
     * endpoint with the fewest runs. The expected run time of the queue has to absorb the change.
     */
    @Test
    public void testOffer_allEndpointsEquallySlower() {
        PlacerFixture fixture = new PlacerFixture(4);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        send(fixture, placer, 1_000);
        runMillis(fixture, 1, 4, 2 * NOMINAL_MILLIS);
        send(fixture, placer, 6_000);
        assertEquals(placer.speeds().mean(), 1.0, 0.15);
    }

    /**
     * Guards against placement by noise: if all speed estimates are between 0.87 and 1.15, the fullest endpoint that
     * accepts the task is chosen, as without any estimates.
     */
    @Test
    public void testChoose_similarSpeedsFullestFirst() {
        for (int trial = 0; trial < 200; trial++) {
            PlacerFixture fixture = new PlacerFixture(6);
            List<HeldEndpoint> endpoints = new ArrayList<>();
            for (int number = 0; number < 6; number++) {
                HeldEndpoint endpoint = PendingJobsTest.endpoint(fixture, number);
                endpoint.open();
                endpoints.add(endpoint);
            }
            fixture.timers.advance(20);
            for (HeldEndpoint endpoint : endpoints) {
                double speed = 0.87 + 0.28 * random.nextDouble();
                for (int run = 0; run < 100; run++) {
                    endpoint.speed().record(NOMINAL_MILLIS, NOMINAL_MILLIS / speed);
                }
                if (random.nextBoolean()) {
                    PlacedTask other = PendingJobsTest.job(1 + trial, 1).tasks().get(0);
                    endpoint.start(other, other.allocateRun(), other.job().taskResources());
                }
            }
            PlacedTask task = PendingJobsTest.job(9, 1).tasks().get(0);
            HeldEndpoint chosen = EndpointChoice.choose(endpoints, task, 20).orElseThrow();
            assertEquals(chosen.entry().id(), fullest(endpoints));
        }
    }

    private static EndpointId fullest(List<HeldEndpoint> endpoints) {
        HeldEndpoint fullest = endpoints.get(0);
        for (HeldEndpoint endpoint : endpoints) {
            fullest = endpoint.freeCapacity().milliCores()
                            < fullest.freeCapacity().milliCores()
                    ? endpoint
                    : fullest;
        }
        return fullest.entry().id();
    }
}
