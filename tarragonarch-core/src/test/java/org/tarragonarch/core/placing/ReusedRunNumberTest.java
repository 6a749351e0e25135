package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

/** Tests a job that its client submits again while an order of its earlier submission may still be carried out. */
public final class ReusedRunNumberTest {
    private static final long RUN_MILLIS = 60;
    private static final long DONE_MILLIS = 300;
    private static final long LATE_ORDER_MILLIS = 3_100;

    /** Guards against a late order that counts as answered because a later run has the same number. */
    @Test
    public void testOffer_orderOfTheEarlierSubmissionArrivesAfterARestart() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS).reportingStarts();
        Placer placer = fixture.openedPlacer(1);
        fixture.orders.startFault = () -> FakeOrders.Fault.DELAYED;
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.orders.startFault = () -> FakeOrders.Fault.NONE;
        fixture.timers.advance(DONE_MILLIS);
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.endpoint(1).restart();
        fixture.timers.advance(DONE_MILLIS);
        fixture.endpoint(1).restart();
        fixture.timers.advance(DONE_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE", "origin-1 1 DONE"));
        int starts = fixture.ledger.starts();
        fixture.timers.advance(LATE_ORDER_MILLIS);
        assertEquals(fixture.ledger.starts(), starts);
    }
}
