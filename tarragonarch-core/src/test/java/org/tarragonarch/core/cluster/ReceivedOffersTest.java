package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.Test;

/** Offers that arrive again at a holder, and the verdicts on them. */
public final class ReceivedOffersTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final NodeId ORIGIN = NodeId.of("a");
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);
    private static final EarlierRuns EARLIER = new EarlierRuns(500, ImmutableSet.of(FailureDomain.of("hobart")));
    private static final long MAX_RUN_MILLIS = 1_350;

    private final VirtualTimers timers = new VirtualTimers();
    private final ReceivedOffers offers = new ReceivedOffers(timers, MAX_RUN_MILLIS);

    private static Offer offer(String origin, long number, EarlierRuns earlierRuns) {
        JobRequest job = new JobRequest(JOB, "x", new TaskStep(1, new Resources(1, 1, 0), 60));
        OfferNumber offerNumber = OfferNumber.of(number);
        return new Offer(job, QUEUE, NodeId.of(origin), offerNumber, 0, 3_000, earlierRuns, OfferTerms.MAY_WAIT, true);
    }

    private Optional<Verdict> record(long number) {
        return record(offer("a", number, EarlierRuns.NONE));
    }

    private Optional<Verdict> record(Offer offer) {
        return offers.record(offer).map(JobVerdict::verdict);
    }

    private Optional<Verdict> settle(Verdict verdict) {
        return offers.settle(ORIGIN, JOB, verdict, 0).map(JobVerdict::verdict);
    }

    /** Guards against a job that runs again, or waits until its deadline, because its verdict was lost. */
    @Test
    public void testRecord_settledOfferArrivesAgain() {
        for (Verdict verdict : Verdict.values()) {
            ReceivedOffersTest test = new ReceivedOffersTest();
            assertEquals(test.record(1), Optional.empty());
            assertEquals(test.settle(verdict), Optional.of(verdict));
            assertEquals(test.record(1), Optional.of(verdict));
        }
    }

    /** Guards against a job that is done and runs again for a later offer of its origin. */
    @Test
    public void testRecord_laterOfferOfDoneJob() {
        ReceivedOffersTest test = new ReceivedOffersTest();
        test.record(1);
        test.settle(Verdict.DONE);
        JobVerdict verdict = test.offers.record(offer("a", 2, EarlierRuns.NONE)).orElseThrow();
        assertEquals(verdict, new JobVerdict(JOB, OfferNumber.of(2), Verdict.DONE, 0));
    }

    /** Guards against a holder that answers each later offer of a job by its verdict on an earlier one. */
    @Test
    public void testRecord_laterOfferOfJobThatDidNotEnd() {
        for (Verdict verdict :
                new Verdict[] {Verdict.DECLINED, Verdict.NOT_AT_ONCE, Verdict.RETURNED, Verdict.EVICTED}) {
            ReceivedOffersTest test = new ReceivedOffersTest();
            test.record(1);
            test.settle(verdict);
            assertEquals(test.record(2), Optional.empty());
            assertEquals(test.settle(verdict), Optional.of(verdict));
        }
    }

    /** Guards against an origin that tells its client that a job has not run although it was started and stopped. */
    @Test
    public void testSettle_offerArrivedTwice() {
        ReceivedOffersTest test = new ReceivedOffersTest();
        test.record(1);
        assertEquals(test.record(1), Optional.empty());
        assertEquals(test.settle(Verdict.DECLINED), Optional.of(Verdict.EVICTED));
    }

    /** Guards against two runs of a job whose runs were left to the next holder before this node held shards again. */
    @Test
    public void testRecord_laterOfferWhileRunsMayContinue() {
        ReceivedOffersTest test = new ReceivedOffersTest();
        test.record(1);
        test.settle(Verdict.HOLD_LOST);
        test.timers.advance(MAX_RUN_MILLIS - 1);
        assertEquals(test.record(2), Optional.of(Verdict.HOLD_LOST));
        assertEquals(test.record(offer("a", 3, EARLIER)), Optional.empty());
    }

    @Test
    public void testRecord_laterOfferAfterRunsAreOver() {
        ReceivedOffersTest test = new ReceivedOffersTest();
        test.record(1);
        test.settle(Verdict.HOLD_LOST);
        test.timers.advance(MAX_RUN_MILLIS);
        assertEquals(test.record(2), Optional.empty());
    }

    /** Guards against a second verdict on one offer, which the origin would take for the end of a later run. */
    @Test
    public void testSettle_twice() {
        ReceivedOffersTest test = new ReceivedOffersTest();
        test.record(1);
        test.settle(Verdict.FAILED);
        assertEquals(test.settle(Verdict.HOLD_LOST), Optional.empty());
    }

    /** Guards against a verdict that is sent to an origin whose client has sent its job again elsewhere. */
    @Test
    public void testSettle_otherOrigin() {
        ReceivedOffersTest test = new ReceivedOffersTest();
        test.record(1);
        test.record(offer("b", 1, EarlierRuns.NONE));
        assertEquals(test.settle(Verdict.DONE), Optional.empty());
        assertEquals(
                test.offers.settle(NodeId.of("b"), JOB, Verdict.DONE, 0).map(JobVerdict::offer),
                Optional.of(OfferNumber.of(1)));
    }
}
