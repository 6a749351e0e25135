package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How long a task and its room wait when orders of one holder to one endpoint are lost. */
public final class LostAnswersTest {
    private static final int PATIENCE_MILLIS = 2_000;

    @DataProvider
    public static Object[][] lost() {
        return new Object[][] {
            {"start", ImmutableSet.of(), 0, 60},
            {"start and list", ImmutableSet.of(2), 0, 75},
            {"start and stop", ImmutableSet.of(), 1, 75},
            {"start, list and stop", ImmutableSet.of(2), 1, 90},
            {"start and last list", ImmutableSet.of(3), 0, 75},
            {"start, list, stop and last list", ImmutableSet.of(2, 3), 1, 110},
            {"start and two stops", ImmutableSet.of(), 2, 105},
        };
    }

    /**
     * Guards against room and tasks that wait longer than it takes to ask again.
     *
     * @param lists which polls are lost, the first being the one that is under way with the start
     * @param stops how many stops are lost
     * @param longestMillis how long after the order the task may start again
     */
    @Test(dataProvider = "lost")
    public void testStart_unanswered(String what, ImmutableSet<Integer> lists, int stops, int longestMillis) {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        fixture.timers.pass(20);
        fixture.orders.startWay = lostAt(ImmutableSet.of(1));
        fixture.orders.holdWay = lostAt(lists);
        fixture.orders.stopWay = lostAt(stops == 2 ? ImmutableSet.of(1, 2) : ImmutableSet.of(stops));
        placer.offer(PlacerFixture.patientOffer(1, 1, 60));
        int waited = 0;
        while (fixture.ledger.starts() == 0 && waited < PATIENCE_MILLIS) {
            fixture.timers.pass(1);
            waited++;
        }
        assertTrue(waited <= longestMillis, what + " lost: " + waited + " ms");
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a sound run that is stopped although only the answer to its start was lost. */
    @Test
    public void testStart_onlyTheAnswerIsLost() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 300;
        Placer placer = fixture.placer(1);
        fixture.timers.pass(20);
        fixture.orders.startWay = () -> FakeOrders.Way.ANSWER_LOST;
        placer.offer(PlacerFixture.patientOffer(1, 1, 300));
        fixture.timers.pass(310);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
    }

    private static Supplier<FakeOrders.Way> lostAt(ImmutableSet<Integer> numbers) {
        int[] number = {0};
        return () -> numbers.contains(++number[0]) ? FakeOrders.Way.CUT : FakeOrders.Way.CLEAR;
    }
}
