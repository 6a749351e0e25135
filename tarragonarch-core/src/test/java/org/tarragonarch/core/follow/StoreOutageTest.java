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
 * How soon a change is heard of that is made right after the store was away.
 *
 * <p>Operators are promised that a change is in force within 2 s of its confirmation; after a failure of the store
 * nodes have 3 s from its end.
 */
public final class StoreOutageTest {
    private static final long IN_FORCE_MILLIS = 2_000;
    private static final long SETTLED_MILLIS = 3_000;

    /** Longer than any call of a follower takes, so that what is heard at all is heard by then. */
    private static final long LONG_AFTER_MILLIS = 20_000;

    /** How long a call for the configuration waits: two waits fit into the time in which a change must be in force. */
    private static final long WAIT_MILLIS = 890;

    /** How often the list of endpoints is read. */
    private static final long PERIOD_MILLIS = 900;

    /** Guards against a call that a silent store swallowed and that hides changes for five seconds after it. */
    @Test
    public void testFollow_changeAfterSilentOutage() {
        Outage outage = new Outage(0);
        outage.passTo(4_000);
        outage.change("version 9");
        outage.fail(FailingStore.Failure.SILENT, 5_100, 11_250);
        outage.passTo(12_030);
        outage.change("version 21");
        outage.passTo(30_000);
        outage.assertHeardBy("version 21", 11_250 + SETTLED_MILLIS);
    }

    /** Guards against tasks started on a leaving endpoint for 4.5 s after the return of a silent store. */
    @Test
    public void testFollow_periodicChangeAfterSilentOutage() {
        Outage outage = new Outage(PERIOD_MILLIS);
        outage.passTo(4_000);
        outage.change("an endpoint's heartbeat");
        outage.fail(FailingStore.Failure.SILENT, 5_100, 11_250);
        outage.passTo(11_500);
        outage.change("an endpoint leaves");
        outage.passTo(30_000);
        outage.assertHeardBy("an endpoint leaves", 11_250 + SETTLED_MILLIS);
    }

    /** Ways to fail, and the pause between two calls of the follower. */
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

    /** The same at any moment, of any length, and with the change made at any moment around the store's return. */
    @Test(dataProvider = "failures")
    public void testFollow_anyOutage(FailingStore.Failure how, long periodMillis) {
        for (long begin = 5_000; begin < 6_000; begin += 70) {
            for (long length = 50; length < 9_000; length += 130) {
                for (long change : new long[] {10, 400, 1_100, 2_500}) {
                    Outage outage = new Outage(periodMillis);
                    outage.fail(how, begin, begin + length);
                    outage.passTo(begin + length + change);
                    outage.change("news");
                    outage.passTo(begin + length + change + LONG_AFTER_MILLIS);
                    outage.assertHeardBy("news", begin + length + Math.max(SETTLED_MILLIS, change + IN_FORCE_MILLIS));
                }
            }
        }
    }

    /** Connections go silent for good without a reset, while new ones work; the store itself is never away. */
    @Test
    public void testFollow_connectionsGoSilent() {
        for (long moment = 5_000; moment < 10_000; moment += 30) {
            Outage outage = new Outage(0);
            outage.passTo(moment);
            outage.store.dropWaitingCalls();
            outage.passTo(moment + 200);
            outage.change("news");
            outage.passTo(moment + LONG_AFTER_MILLIS);
            outage.assertHeardBy("news", moment + SETTLED_MILLIS);
        }
    }

    /** One follower at one store, from time 0. */
    private static final class Outage implements TableListener {
        private final VirtualTimers timers = new VirtualTimers();
        private final FailingStore store = new FailingStore(timers);
        private final Map<String, Long> heard = new HashMap<>();
        private final long beganAtMillis = timers.nowMillis();

        Outage(long periodMillis) {
            store.write("first");
            FollowPace pace =
                    periodMillis == 0 ? FollowPace.longPolling(WAIT_MILLIS) : FollowPace.periodic(periodMillis);
            new TableFollower(store, StoreTable.OPERATOR, timers, this, pace).start();
        }

        void passTo(long millis) {
            timers.pass(millis - now());
        }

        /** Lets the store fail from a time to another, which it is then. */
        void fail(FailingStore.Failure how, long fromMillis, long toMillis) {
            passTo(fromMillis);
            store.fail(how);
            passTo(toMillis);
            store.fail(FailingStore.Failure.NONE);
        }

        void change(String key) {
            store.write(key);
        }

        void assertHeardBy(String key, long millis) {
            Long at = heard.get(key);
            assertTrue(at != null && at <= millis, key + " heard at " + at + ", to be heard by " + millis);
        }

        private long now() {
            return timers.nowMillis() - beganAtMillis;
        }

        @Override
        public void tableReplaced(RowPage page) {
            rowsChanged(page);
        }

        @Override
        public void rowsChanged(RowPage page) {
            page.rows().forEach(row -> heard.putIfAbsent(row.key(), now()));
        }

        @Override
        public void currentAsOf(long asOfMillis) {
            // What was heard is all that matters here.
        }

        @Override
        public void rowsUnusable(RuntimeException why) {
            throw new AssertionError("no row is wrong here", why);
        }

        @Override
        public void storeLost(FailedCall call) {
            // What was heard is all that matters here.
        }

        @Override
        public void storeStillLost(FailedCall call) {
            // What was heard is all that matters here.
        }

        @Override
        public void storeRegained(long awayMillis) {
            // What was heard is all that matters here.
        }
    }
}
