package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.core.placing.ShareLoad.Kind;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;
import org.testng.annotations.Test;

/** Starts and refusals when several priorities together want more capacity than the pool has. */
public final class SharesUnderLoadTest {
    private static final SharePlan WEIGHTED = SharePlan.of(
            ImmutableList.of(ShareSettings.weighted(0, 4), ShareSettings.weighted(1, 2), ShareSettings.weighted(2, 1)));

    /** Needs 12 of the 40 task slots. */
    private static final Kind SHORT = new Kind(0, 2, 60, 10);

    /** Needs 60 task slots, of which there are 40. */
    private static final Kind SHORT_FLOOD = new Kind(0, 2, 60, 2);

    /** Needs 9 of the 40 task slots. */
    private static final Kind LONG = new Kind(2, 1, 900, 100);

    /** Needs 90 task slots, of which there are 40. */
    private static final Kind LONG_FLOOD = new Kind(2, 1, 900, 10);

    private static final long LENGTH_MILLIS = 8_000;
    private static final long TAIL_MILLIS = 4_000;

    private static ShareLoad run(SharePlan plan, Kind... kinds) {
        ShareLoad load = new ShareLoad(plan);
        for (Kind kind : kinds) {
            load.send(kind, 0, LENGTH_MILLIS);
        }
        load.run(LENGTH_MILLIS + TAIL_MILLIS);
        assertEquals(load.fixture.ledger.violations(), ImmutableList.of());
        return load;
    }

    private static void assertBetween(double found, double least, double most, String what) {
        assertTrue(found >= least && found <= most, what + " " + found + " is not within " + least + " and " + most);
    }

    /** Guards against short jobs that are refused or late because long ones arrived first and fill the queue. */
    @Test
    public void testWeights_longFloodWithShortJobs() {
        ShareLoad load = run(WEIGHTED, SHORT, LONG_FLOOD);
        assertBetween(load.inTimeFraction(SHORT, 2_000, LENGTH_MILLIS), 0.99, 1, "short in time");
        assertBetween(load.refusedFraction(LONG_FLOOD), 0.5, 0.8, "long refused");
        assertBetween(load.refusedAtOnceFraction(LONG_FLOOD), 0.95, 1, "refused at once, with a retry time");
        assertBetween(load.meanRuns(2, 2_000, LENGTH_MILLIS), 24, 28, "slots of long runs");
    }

    /** Guards against one flood that displaces the other: each gets its share by weight, 32 and 8 task slots. */
    @Test
    public void testWeights_twoFloods() {
        ShareLoad load = run(WEIGHTED, SHORT_FLOOD, LONG_FLOOD);
        assertBetween(load.meanRuns(0, 2_000, LENGTH_MILLIS), 29, 34, "slots of short runs");
        assertBetween(load.meanRuns(2, 2_000, LENGTH_MILLIS), 6, 10, "slots of long runs");
        assertBetween(load.refusedAtOnceFraction(SHORT_FLOOD), 0.95, 1, "short refused at once");
        assertBetween(load.refusedAtOnceFraction(LONG_FLOOD), 0.95, 1, "long refused at once");
        assertEquals(
                ImmutableList.copyOf(load.fixture.limitChanges.subList(0, 2).stream()
                        .sorted()
                        .toList()),
                ImmutableList.of("0 limited", "2 limited"));
        assertTrue(load.fixture.limitChanges.size() <= 6, load.fixture.limitChanges.toString());
    }

    /**
     * Guards against capacity that stays idle, or that stays lent when its share needs it; no run is stopped for that.
     */
    @Test
    public void testIdleCapacity_lentAndReturned() {
        ShareLoad load = new ShareLoad(WEIGHTED);
        load.send(LONG_FLOOD, 0, LENGTH_MILLIS);
        load.send(SHORT, 4_000, LENGTH_MILLIS);
        load.run(LENGTH_MILLIS + TAIL_MILLIS);
        assertBetween(load.meanRuns(2, 2_000, 4_000), 38, ShareLoad.TASK_SLOTS, "slots lent");
        assertBetween(load.inTimeFraction(SHORT, 5_000, LENGTH_MILLIS), 0.99, 1, "short in time");
        assertEquals(load.fixture.badEnds, ImmutableList.of());
    }

    /** Guards against a share that borrows beyond its ceiling while the rest of the pool is idle. */
    @Test
    public void testCeiling_idlePool() {
        SharePlan plan = SharePlan.of(ImmutableList.of(new ShareSettings(2, 1, 0, 0.5)));
        ShareLoad load = run(plan, LONG_FLOOD);
        long ceiling = (long) (ShareLoad.TASK_SLOTS / 2 * 16.0 / 14);
        assertEquals(load.maxRuns(2), ceiling);
        assertBetween(load.meanRuns(2, 2_000, LENGTH_MILLIS), ceiling - 1, ceiling, "slots of long runs");
        assertBetween(load.refusedAtOnceFraction(LONG_FLOOD), 0.95, 1, "refused at once");
    }

    /**
     * Guards against a flood of a share of large weight that leaves another share less than its guaranteed fraction.
     */
    @Test
    public void testGuarantee_floodOfHeavyShare() {
        SharePlan plan =
                SharePlan.of(ImmutableList.of(new ShareSettings(0, 1, 0.35, 1), ShareSettings.weighted(2, 100)));
        ShareLoad load = run(plan, SHORT, LONG_FLOOD);
        assertBetween(load.inTimeFraction(SHORT, 2_000, LENGTH_MILLIS), 0.95, 1, "short in time");
        assertBetween(load.meanRuns(2, 2_000, LENGTH_MILLIS), 24, 28, "slots of long runs");
    }

    /**
     * Guards against a change of any verdict, or of its time, in a deployment without shares. The hash is that of the
     * verdicts before shares were introduced.
     */
    @Test
    public void testNoShares_verdictsUnchanged() {
        ShareLoad load = run(SharePlan.NONE, SHORT_FLOOD, LONG_FLOOD, new Kind(1, 3, 170, 30));
        StringBuilder verdicts = new StringBuilder();
        load.fixture.settled.entrySet().stream()
                .sorted((first, second) ->
                        first.getKey().value().compareTo(second.getKey().value()))
                .forEach(each -> verdicts.append(each.getKey().value())
                        .append(each.getValue().verdict())
                        .append(each.getValue().atMillis())
                        .append(each.getValue().retryMillis())
                        .append('\n'));
        load.fixture.estimates.forEach(each -> verdicts.append(each.waitMillis())
                .append(' ')
                .append(each.waitingJobs())
                .append('\n'));
        assertEquals(
                Hashing.sha256().hashString(verdicts, StandardCharsets.UTF_8).toString(),
                "49fab79bbc5afc4950833187ab78ae031302445d880ac42663e37198b2310a3a");
    }

    /** Guards against a new holder that does not count adopted runs, so that their share can borrow twice. */
    @Test
    public void testShareUses_adoptedRuns() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.plan = WEIGHTED;
        fixture.orders.endpoints.values().forEach(each -> each.runMillis = 900);
        Placer before = fixture.placer(1);
        fixture.timers.advance(20);
        before.offer(PlacerFixture.offer(1, 3, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(50);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.offer(1, 3, 900, PlacerFixture.ORIGIN, true));
        fixture.timers.advance(50);
        assertEquals(next.shareUses(PlacerFixture.SHARD).get(0).milliCores(), 3 * PlacerFixture.TASK_MILLI_CORES);
    }
}
