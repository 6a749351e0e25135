package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no task runs twice and no endpoint exceeds its capacity under random combinations of faults: lost or
 * delayed orders, endpoints that are temporarily unreachable, replaced holders, withdrawn and repeated jobs.
 */
public final class PlacerChaosTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 120;

    @DataProvider
    public static Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int seed = 0; seed < SEEDS; seed++) {
            seeds[seed] = new Object[] {seed};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void testNoTaskRunsTwice_randomFaults(int seed) {
        Random random = new Random(seed);
        PlacerFixture fixture = new PlacerFixture(4);
        fixture.orders.startFault = () -> drawFault(random);
        long term = 1;
        Placer placer = fixture.placer(term);
        for (int step = 0; step < STEPS; step++) {
            int job = 1 + random.nextInt(15);
            switch (random.nextInt(10)) {
                case 0 -> fixture.setFault(1 + random.nextInt(4), drawConnectionFault(random));
                case 3 -> placer.review();
                case 1 -> placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(job));
                case 2 -> {
                    if (random.nextInt(8) == 0) {
                        placer = fixture.placer(++term);
                    }
                }
                default ->
                    placer.offer(PlacerFixture.offer(
                            job, 1 + random.nextInt(4), 60, PlacerFixture.ORIGIN, fixture.ledger.starts() > 0));
            }
            fixture.endpoint(1 + random.nextInt(4)).runMillis = 20 + random.nextInt(600);
            fixture.timers.advance(random.nextInt(60));
        }
        fixture.timers.advance(6_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a run that is considered over because of a stop or list that was answered only when repeated. */
    @Test(dataProvider = "seeds")
    public void testNoTaskRunsTwice_stopsAndListsAreLost(int seed) {
        Random random = new Random(seed);
        PlacerFixture fixture = new PlacerFixture(4);
        fixture.orders.startFault = () -> drawFault(random);
        fixture.orders.stopFault = () -> drawFault(random);
        fixture.orders.pollFault = () -> drawFault(random);
        Placer placer = fixture.placer(1);
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(10) == 0) {
                placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1 + random.nextInt(15)));
            }
            placer.offer(PlacerFixture.offer(1 + random.nextInt(15), 1 + random.nextInt(4)));
            fixture.endpoint(1 + random.nextInt(4)).runMillis = 20 + random.nextInt(600);
            fixture.timers.advance(random.nextInt(60));
        }
        fixture.timers.advance(6_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against runs that are considered over, or exceed the capacity, when endpoints restart with the old id. */
    @Test(dataProvider = "seeds")
    public void testNoTaskRunsTwice_endpointsRestart(int seed) {
        Random random = new Random(seed);
        PlacerFixture fixture = new PlacerFixture(4).reportingStarts();
        fixture.orders.startFault = () -> drawFault(random);
        Placer placer = fixture.placer(1);
        for (int step = 0; step < STEPS; step++) {
            int number = 1 + random.nextInt(4);
            switch (random.nextInt(12)) {
                case 0, 1 -> fixture.endpoint(number).restart();
                case 2 -> {
                    fixture.replaceIncarnation(number, fixture.endpoint(number).startedMillis());
                    placer.update(PlacerFixture.SHARD, fixture.entries);
                }
                case 3 -> placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1 + random.nextInt(15)));
                default ->
                    placer.offer(PlacerFixture.offer(
                            1 + random.nextInt(15), 1 + random.nextInt(4), 60, PlacerFixture.ORIGIN, false));
            }
            fixture.endpoint(1 + random.nextInt(4)).runMillis = 20 + random.nextInt(600);
            fixture.timers.advance(random.nextInt(60));
        }
        fixture.timers.advance(20_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    private static FakeOrders.Fault drawFault(Random random) {
        return switch (random.nextInt(20)) {
            case 0 -> FakeOrders.Fault.DELAYED;
            case 1 -> FakeOrders.Fault.ANSWER_LOST;
            case 2 -> FakeOrders.Fault.LOST;
            default -> FakeOrders.Fault.NONE;
        };
    }

    private static FakeOrders.Fault drawConnectionFault(Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> FakeOrders.Fault.LOST;
            case 1 -> FakeOrders.Fault.ANSWER_LOST;
            default -> FakeOrders.Fault.NONE;
        };
    }
}
