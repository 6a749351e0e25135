package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how soon a task starts again when orders of one holder to one endpoint are lost. */
public final class LostAnswersTest {
    private static final int MAX_WAIT_MILLIS = 2_000;

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
     * Guards against capacity and tasks that are blocked for longer than the repetition of lost calls takes.
     *
     * @param what the calls that are lost, for the failure message
     * @param lists the numbers of the polls that are lost; poll 1 is in flight together with the start
     * @param stops the number of stops that are lost
     * @param longestMillis the time limit for the repeated start, from the first order
     */
    @Test(dataProvider = "lost")
    public void testStart_unanswered(String what, ImmutableSet<Integer> lists, int stops, int longestMillis) {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        fixture.orders.startFault = lostAt(ImmutableSet.of(1));
        fixture.orders.pollFault = lostAt(lists);
        fixture.orders.stopFault = lostAt(stops == 2 ? ImmutableSet.of(1, 2) : ImmutableSet.of(stops));
        placer.offer(PlacerFixture.patientOffer(1, 1, 60));
        int waited = 0;
        while (fixture.ledger.starts() == 0 && waited < MAX_WAIT_MILLIS) {
            fixture.timers.advance(1);
            waited++;
        }
        assertTrue(waited <= longestMillis, what + " lost: " + waited + " ms");
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a healthy run that is stopped because the answer to its start was lost. */
    @Test
    public void testStart_onlyTheAnswerIsLost() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 300;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        fixture.orders.startFault = () -> FakeOrders.Fault.ANSWER_LOST;
        placer.offer(PlacerFixture.patientOffer(1, 1, 300));
        fixture.timers.advance(310);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
    }

    private static Supplier<FakeOrders.Fault> lostAt(ImmutableSet<Integer> numbers) {
        int[] number = {0};
        return () -> numbers.contains(++number[0]) ? FakeOrders.Fault.LOST : FakeOrders.Fault.NONE;
    }
}
