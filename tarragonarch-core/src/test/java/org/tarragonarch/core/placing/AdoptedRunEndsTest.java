package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndKind;
import org.testng.annotations.Test;

/** Tests a holder whose adopted runs end while the earlier holder is still active at another endpoint. */
public final class AdoptedRunEndsTest {
    private static final long RUN_MILLIS = 500;
    private static final long SECOND_RUN_MILLIS = 300;

    /**
     * Guards against a task that runs twice: a poll of the earlier holder that was waiting at the endpoint is answered
     * with the end of the run, so that this holder starts the task again at an endpoint that the next has not reached.
     */
    @Test
    public void testClaim_earlierHolderRestartsTaskElsewhere() {
        PlacerFixture fixture = PlacerFixture.running(2, RUN_MILLIS);
        Placer before = fixture.openedPlacer(1);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        before.offer(PlacerFixture.firstOffer(1, 1, RUN_MILLIS));
        fixture.timers.advance(RUN_MILLIS - 20);
        assertEquals(fixture.endpoint(1).running(), 1);
        fixture.setRunMillis(SECOND_RUN_MILLIS);
        fixture.setFault(2, FakeOrders.Fault.LOST);
        Placer next = fixture.placer(2);
        fixture.setFault(2, FakeOrders.Fault.NONE);
        fixture.timers.advance(5);
        next.offer(PlacerFixture.repeatedOffer(1, 1, RUN_MILLIS));
        fixture.timers.advance(30);
        before.originLost(PlacerFixture.ORIGIN);
        fixture.timers.advance(2_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(fixture.verdicts.get(fixture.verdicts.size() - 1), "origin-1 1 DONE");
    }
}
