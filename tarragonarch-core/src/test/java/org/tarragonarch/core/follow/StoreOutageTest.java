package org.tarragonarch.core.follow;

import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.StoreTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests how soon a follower sees a change made right after an outage of the store.
 *
 * <p>Operators are guaranteed that a change is in force within 2 s of its confirmation. After an outage of the store
 * nodes have 3 s from its end.
 */
public final class StoreOutageTest {
    private static final long IN_FORCE_MILLIS = 2_000;
    private static final long RECOVERY_MILLIS = 3_000;

    /** Longer than any call of a follower takes, so that each change which is seen at all is seen by then. */
    private static final long LONG_AFTER_MILLIS = 20_000;

    /** How long a call for the configuration waits: two waits fit into the time within which a change is in force. */
    private static final long WAIT_MILLIS = 890;

    /** The period at which the list of endpoints is read. */
    private static final long PERIOD_MILLIS = 900;

    /** Guards against a call lost in a silent store that hides changes for five seconds after the outage. */
    @Test
    public void testFollow_changeAfterSilentOutage() {
        Outage outage = new Outage(0);
        outage.passTo(4_000);
        outage.change("version 9");
        outage.fail(FailingStore.Failure.SILENT, 5_100, 11_250);
        outage.passTo(12_030);
        outage.change("version 21");
        outage.passTo(30_000);
        outage.assertSeenBy("version 21", 11_250 + RECOVERY_MILLIS);
    }

    /** Guards against tasks started on a leaving endpoint for 4.5 s after a silent store has recovered. */
    @Test
    public void testFollow_periodicChangeAfterSilentOutage() {
        Outage outage = new Outage(PERIOD_MILLIS);
        outage.passTo(4_000);
        outage.change("an endpoint's heartbeat");
        outage.fail(FailingStore.Failure.SILENT, 5_100, 11_250);
        outage.passTo(11_500);
        outage.change("an endpoint leaves");
        outage.passTo(30_000);
        outage.assertSeenBy("an endpoint leaves", 11_250 + RECOVERY_MILLIS);
    }

    /** The ways to fail, each with the periods of the follower; 0 for long polling. */
    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {FailingStore.Failure.SILENT, 0L},
            {FailingStore.Failure.SILENT, PERIOD_MILLIS},
            {FailingStore.Failure.TURNED_AWAY, 0L},
            {FailingStore.Failure.TURNED_AWAY, PERIOD_MILLIS},
            {FailingStore.Failure.RESET, 0L},
            {FailingStore.Failure.RESET, PERIOD_MILLIS},
        };
    }

    /** Guards against changes seen late, for outages and changes at various times. */
    @Test(dataProvider = "failures")
    public void testFollow_anyOutage(FailingStore.Failure failure, long periodMillis) {
        for (long begin = 5_000; begin < 6_000; begin += 70) {
            for (long length = 50; length < 9_000; length += 130) {
                for (long change : new long[] {10, 400, 1_100, 2_500}) {
                    Outage outage = new Outage(periodMillis);
                    outage.fail(failure, begin, begin + length);
                    outage.passTo(begin + length + change);
                    outage.change("news");
                    outage.passTo(begin + length + change + LONG_AFTER_MILLIS);
                    outage.assertSeenBy("news", begin + length + Math.max(RECOVERY_MILLIS, change + IN_FORCE_MILLIS));
                }
            }
        }
    }

    /** Guards against changes hidden by connections that go silent without a reset while the store does not fail. */
    @Test
    public void testFollow_connectionsGoSilent() {
        for (long moment = 5_000; moment < 10_000; moment += 30) {
            Outage outage = new Outage(0);
            outage.passTo(moment);
            outage.store.dropWaitingCalls();
            outage.passTo(moment + 200);
            outage.change("news");
            outage.passTo(moment + LONG_AFTER_MILLIS);
            outage.assertSeenBy("news", moment + RECOVERY_MILLIS);
        }
    }

    /** A follower and its store, with times relative to its start. */
    private static final class Outage implements TableListener {
        private final VirtualTimers timers = new VirtualTimers();
        private final FailingStore store = new FailingStore(timers);
        private final Map<String, Long> seenAtMillis = new HashMap<>();
        private final long startedAtMillis = timers.nowMillis();

        Outage(long periodMillis) {
            store.write("first");
            FollowPace pace =
                    periodMillis == 0 ? FollowPace.longPolling(WAIT_MILLIS) : FollowPace.periodic(periodMillis);
            new TableFollower(store, StoreTable.OPERATOR, timers, this, pace).start();
        }

        void passTo(long millis) {
            timers.advance(millis - now());
        }

        /** Lets the store fail from one time to another, and virtual time pass to the latter. */
        void fail(FailingStore.Failure failure, long fromMillis, long toMillis) {
            passTo(fromMillis);
            store.fail(failure);
            passTo(toMillis);
            store.fail(FailingStore.Failure.NONE);
        }

        void change(String key) {
            store.write(key);
        }

        void assertSeenBy(String key, long millis) {
            Long at = seenAtMillis.get(key);
            assertTrue(at != null && at <= millis, key + " seen at " + at + ", expected by " + millis);
        }

        private long now() {
            return timers.nowMillis() - startedAtMillis;
        }

        @Override
        public void tableReplaced(RowPage page) {
            rowsChanged(page);
        }

        @Override
        public void rowsChanged(RowPage page) {
            page.rows().forEach(row -> seenAtMillis.putIfAbsent(row.key(), now()));
        }

        @Override
        public void currentAsOf(long asOfMillis) {
            // Only rows matter here.
        }

        @Override
        public void rowsUnusable(RuntimeException cause) {
            throw new AssertionError("the listener must not throw", cause);
        }

        @Override
        public void storeLost(FailedCall call) {
            // Only rows matter here.
        }

        @Override
        public void storeStillLost(FailedCall call) {
            // Only rows matter here.
        }

        @Override
        public void storeRegained(long awayMillis) {
            // Only rows matter here.
        }
    }
}
