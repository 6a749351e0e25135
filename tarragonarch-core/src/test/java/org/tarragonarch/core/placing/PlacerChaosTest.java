package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Users see a check run twice, or endpoints overfilled, only when several troubles meet: orders lost or late, endpoints
 * cut off and back, holders replaced in the middle, jobs withdrawn and sent again. Each seed draws such a day.
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
    public void testNoTaskRunsTwice_randomTrouble(int seed) {
        Random random = new Random(seed);
        PlacerFixture fixture = new PlacerFixture(4);
        fixture.orders.startWay = () -> drawWay(random);
        long term = 1;
        Placer placer = fixture.placer(term);
        for (int step = 0; step < STEPS; step++) {
            int job = 1 + random.nextInt(15);
            switch (random.nextInt(10)) {
                case 0 -> fixture.setWay(1 + random.nextInt(4), drawCut(random));
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
            fixture.timers.pass(random.nextInt(60));
        }
        fixture.timers.pass(6_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a run that is settled by a stop or list of which only a repetition was answered. */
    @Test(dataProvider = "seeds")
    public void testNoTaskRunsTwice_stopsAndListsAreLost(int seed) {
        Random random = new Random(seed);
        PlacerFixture fixture = new PlacerFixture(4);
        fixture.orders.startWay = () -> drawWay(random);
        fixture.orders.stopWay = () -> drawWay(random);
        fixture.orders.holdWay = () -> drawWay(random);
        Placer placer = fixture.placer(1);
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(10) == 0) {
                placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1 + random.nextInt(15)));
            }
            placer.offer(PlacerFixture.offer(1 + random.nextInt(15), 1 + random.nextInt(4)));
            fixture.endpoint(1 + random.nextInt(4)).runMillis = 20 + random.nextInt(600);
            fixture.timers.pass(random.nextInt(60));
        }
        fixture.timers.pass(6_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against runs that are taken for over, or over room, as endpoints restart under their ids. */
    @Test(dataProvider = "seeds")
    public void testNoTaskRunsTwice_endpointsRestart(int seed) {
        Random random = new Random(seed);
        PlacerFixture fixture = new PlacerFixture(4).reportingStarts();
        fixture.orders.startWay = () -> drawWay(random);
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
            fixture.timers.pass(random.nextInt(60));
        }
        fixture.timers.pass(20_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    private static FakeOrders.Way drawWay(Random random) {
        return switch (random.nextInt(20)) {
            case 0 -> FakeOrders.Way.LATE;
            case 1 -> FakeOrders.Way.ANSWER_LOST;
            case 2 -> FakeOrders.Way.CUT;
            default -> FakeOrders.Way.CLEAR;
        };
    }

    private static FakeOrders.Way drawCut(Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> FakeOrders.Way.CUT;
            case 1 -> FakeOrders.Way.ANSWER_LOST;
            default -> FakeOrders.Way.CLEAR;
        };
    }
}
