package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferTerms;
import org.testng.annotations.Test;

/** A holder with four task slots that is offered jobs to start at once, from its own failure domain and from others. */
public final class OfferAdmissionTest {
    private final PlacerFixture fixture = new PlacerFixture(2);
    private final Placer placer = fixture.placer(1);

    private static OfferAdmissionTest opened() {
        OfferAdmissionTest test = new OfferAdmissionTest();
        test.fixture.timers.advance(20);
        return test;
    }

    private static Offer atOnce(int number, int tasks, boolean fromOwnDomain) {
        Offer offer = PlacerFixture.offer(number, tasks);
        return new Offer(
                offer.job(),
                offer.queue(),
                offer.origin(),
                offer.number(),
                offer.ageMillis(),
                offer.deadlineMillis(),
                offer.earlierRuns(),
                OfferTerms.AT_ONCE,
                fromOwnDomain);
    }

    private void offerAtOnce(int number, int tasks, boolean fromOwnDomain) {
        placer.offer(atOnce(number, tasks, fromOwnDomain));
        fixture.timers.advance(5);
    }

    /** Guards against a partly started job, and against a decline that operators would see as a refusal. */
    @Test
    public void testOffer_atOnceBeyondFreeCapacity() {
        OfferAdmissionTest test = opened();
        test.offerAtOnce(1, 5, true);
        assertEquals(test.fixture.verdicts, ImmutableList.of("origin-1 1 NOT_AT_ONCE"));
        assertEquals(test.fixture.ledger.starts(), 0);
        assertEquals(test.fixture.estimates, ImmutableList.of());
    }

    /**
     * Guards against a holder that refuses a job on terms that allow it to wait, because it returned the job before.
     */
    @Test
    public void testOffer_repeatedUnderOtherTerms() {
        OfferAdmissionTest test = opened();
        test.offerAtOnce(1, 5, true);
        test.placer.offer(PlacerFixture.offer(1, 5));
        test.fixture.timers.advance(400);
        assertEquals(test.fixture.verdicts, ImmutableList.of("origin-1 1 NOT_AT_ONCE", "origin-1 1 DONE"));
    }

    @Test
    public void testOffer_atOnceWithinFreeCapacity() {
        OfferAdmissionTest test = opened();
        test.offerAtOnce(1, 4, true);
        assertEquals(test.fixture.ledger.starts(), 4);
    }

    /** Guards against idle endpoints that accept no jobs of other failure domains. */
    @Test
    public void testOffer_otherDomainWhileIdle() {
        OfferAdmissionTest test = opened();
        test.offerAtOnce(1, 4, false);
        assertEquals(test.fixture.ledger.starts(), 4);
    }

    /**
     * Jobs of own clients fill the endpoints and wait. Guards against a job of another domain that starts before them.
     */
    @Test
    public void testOffer_otherDomainWhileOwnJobsWait() {
        OfferAdmissionTest test = opened();
        test.placer.offer(PlacerFixture.offer(1, 3));
        test.placer.offer(PlacerFixture.offer(2, 2));
        test.placer.offer(PlacerFixture.offer(3, 2));
        test.fixture.timers.advance(5);
        test.offerAtOnce(4, 1, false);
        assertEquals(test.fixture.verdicts, ImmutableList.of("origin-1 4 NOT_AT_ONCE"));
    }

    /**
     * Own clients use three of four slots every 70 ms. Guards against a burst of another domain that takes all slots at
     * a moment when no own job runs.
     */
    @Test
    public void testOffer_otherDomainWouldUseReserve() {
        OfferAdmissionTest test = opened();
        for (int i = 0; i < 20; i++) {
            test.placer.offer(PlacerFixture.offer(0x100 + i, 3));
            test.fixture.timers.advance(70);
        }
        test.fixture.verdicts.clear();
        test.offerAtOnce(1, 4, false);
        test.offerAtOnce(2, 2, false);
        assertEquals(test.fixture.verdicts, ImmutableList.of("origin-1 1 NOT_AT_ONCE"));
    }

    /**
     * Guards against a task that runs twice: its client disconnects and resubmits the job while the first runs are
     * being stopped. If the job were returned because it cannot start at once, the next domain would start it.
     */
    @Test
    public void testOffer_atOnceWhileRunsAreStopped() {
        OfferAdmissionTest test = opened();
        test.offerAtOnce(1, 4, true);
        test.placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        test.placer.offer(atOnce(1, 4, true));
        assertEquals(test.fixture.verdicts, ImmutableList.of());
        test.fixture.timers.advance(400);
        assertEquals(test.fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a job that is admitted to start at once and then waits because its share is at its ceiling. */
    @Test
    public void testOffer_atOnceBeyondTheCeiling() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.plan = SharePlan.of(ImmutableList.of(new ShareSettings(0, 1, 0, 0.5)));
        Placer holder = fixture.openedPlacer(1);
        holder.offer(atOnce(1, 3, true));
        fixture.timers.advance(5);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 NOT_AT_ONCE"));
        assertEquals(fixture.ledger.starts(), 0);
    }

    /** Guards against a job that waits until its deadline although one of its tasks exceeds its share's ceiling. */
    @Test
    public void testOffer_taskLargerThanTheCeiling() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.plan = SharePlan.of(ImmutableList.of(new ShareSettings(0, 1, 0, 0.2)));
        Placer holder = fixture.openedPlacer(1);
        holder.offer(PlacerFixture.offer(1, 1));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DECLINED"));
        assertEquals(fixture.settled.get(PlacerFixture.id(1)).retryMillis(), 1_000);
    }
}
