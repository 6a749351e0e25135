package org.tarragonarch.core.follow;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.testng.annotations.Test;

/** Tests for {@link TableFollower} with a store that gives scripted answers. */
public final class TableFollowerTest {
    /** The start of virtual time. */
    private static final long START_MILLIS = new VirtualTimers().nowMillis();

    /** The key of a row on which the listener throws. */
    private static final String FAILING_KEY = "!";

    private final VirtualTimers timers = new VirtualTimers();
    private final Deque<RowStore.Reply> script = new ArrayDeque<>();
    private final List<String> seen = new ArrayList<>();
    private final List<Long> asOf = new ArrayList<>();
    private long answerAfterMillis;

    private static RowStore.Reply page(long version, String... keys) {
        ImmutableList.Builder<StoreRow> rows = ImmutableList.builder();
        for (String key : keys) {
            rows.add(new StoreRow(key, new byte[0], false));
        }
        return new RowStore.Reply(StoreResult.DONE, Optional.of(new RowPage(rows.build(), version)));
    }

    private void run(RowStore.Reply... replies) {
        script.addAll(List.of(replies));
        new TableFollower(
                        new ScriptedStore(),
                        StoreTable.OPERATOR,
                        timers,
                        new RecordingListener(),
                        FollowPace.longPolling(1_000))
                .start();
        timers.advance(10_000);
    }

    @Test
    public void testFollow_changes() {
        TableFollowerTest test = new TableFollowerTest();
        test.run(page(5, "a"), page(7, "b"), page(8));
        assertEquals(
                test.seen, ImmutableList.of("read", "replaced [a]", "follow 5", "changed [b]", "follow 7", "follow 8"));
    }

    /** Guards against a node that claims a shard but reads the endpoints only after the long pause before the claim. */
    @Test
    public void testChangePace_callOverdue() {
        TableFollowerTest test = new TableFollowerTest();
        test.script.addAll(List.of(page(5, "a"), page(6, "b"), page(7, "c")));
        TableFollower follower = new TableFollower(
                test.new ScriptedStore(),
                StoreTable.ENDPOINTS,
                test.timers,
                test.new RecordingListener(),
                FollowPace.periodic(3_600));
        follower.start();
        test.timers.advance(1_000);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]"));
        follower.changePace(FollowPace.periodic(900));
        test.timers.advance(10);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]", "follow 5", "changed [b]"));
        follower.changePace(FollowPace.periodic(3_600));
        test.timers.advance(3_500);
        assertEquals(test.seen.size(), 4);
        test.timers.advance(200);
        assertEquals(test.seen.size(), 6);
    }

    /** Guards against a node that claims a shard and uses a list that is up to 0.9 s old. */
    @Test
    public void testFollowNow_duringPause() {
        TableFollowerTest test = new TableFollowerTest();
        test.script.addAll(List.of(page(5, "a"), page(6, "b"), page(7, "c")));
        TableFollower follower = new TableFollower(
                test.new ScriptedStore(),
                StoreTable.ENDPOINTS,
                test.timers,
                test.new RecordingListener(),
                FollowPace.periodic(900));
        follower.start();
        test.timers.advance(100);
        follower.followNow();
        test.timers.advance(10);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]", "follow 5", "changed [b]"));
        test.timers.advance(880);
        assertEquals(test.seen.size(), 4);
        test.timers.advance(30);
        assertEquals(test.seen.size(), 6);
    }

    /** Guards against two concurrent calls, of which the later answer may be the older one. */
    @Test
    public void testFollowNow_callUnderWay() {
        TableFollowerTest test = new TableFollowerTest();
        test.answerAfterMillis = 50;
        test.script.addAll(List.of(page(5, "a"), page(6, "b")));
        TableFollower follower = new TableFollower(
                test.new ScriptedStore(),
                StoreTable.ENDPOINTS,
                test.timers,
                test.new RecordingListener(),
                FollowPace.periodic(900));
        follower.start();
        follower.followNow();
        test.timers.advance(100);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]"));
    }

    /** Guards against a change that is never seen because the store no longer has the history. */
    @Test
    public void testFollow_historyGone() {
        TableFollowerTest test = new TableFollowerTest();
        test.run(page(5, "a"), RowStore.Reply.of(StoreResult.HISTORY_GONE), page(90, "b"));
        assertEquals(
                test.seen, ImmutableList.of("read", "replaced [a]", "follow 5", "read", "replaced [b]", "follow 90"));
    }

    /** Guards against a follower that stops after an outage, or continues from another version than its last one. */
    @Test
    public void testFollow_outage() {
        TableFollowerTest test = new TableFollowerTest();
        RowStore.Reply silence = RowStore.Reply.of(StoreResult.UNKNOWN);
        test.run(page(5, "a"), silence, silence, page(6, "b"));
        assertEquals(
                test.seen,
                ImmutableList.of(
                        "read",
                        "replaced [a]",
                        "follow 5",
                        "lost",
                        "follow 5",
                        "still lost after 200",
                        "follow 5",
                        "regained after 600",
                        "changed [b]",
                        "follow 6"));
    }

    /** Guards against a delayed answer that counts as complete as of its arrival. */
    @Test
    public void testCurrentAsOf_answerDelayed() {
        TableFollowerTest test = new TableFollowerTest();
        test.answerAfterMillis = 1_700;
        test.run(page(5, "a"), page(5), page(7, "b"));
        assertEquals(test.asOf, ImmutableList.of(0L, 1_700L + 1_000, 3_400L));
    }

    /** Guards against a follower that makes no further call after its listener has thrown. */
    @Test
    public void testFollow_listenerThrows() {
        TableFollowerTest test = new TableFollowerTest();
        test.run(page(5, "a"), page(7, FAILING_KEY), page(8, "b"));
        assertEquals(
                test.seen,
                ImmutableList.of(
                        "read",
                        "replaced [a]",
                        "follow 5",
                        "changed [!]",
                        "unusable: broken",
                        "read",
                        "replaced [b]",
                        "follow 8"));
    }

    /** A store that gives the scripted answers, and no answer after the last one. */
    private final class ScriptedStore implements RowStore {
        @Override
        public void read(StoreTable table, Consumer<Reply> reply) {
            seen.add("read");
            answer(reply);
        }

        @Override
        public void follow(StoreTable table, long afterVersion, long waitMillis, Consumer<Reply> reply) {
            seen.add("follow " + afterVersion);
            answer(reply);
        }

        @Override
        public void put(StoreTable table, String key, byte[] value, Consumer<Reply> reply) {
            throw new AssertionError("a follower does not write");
        }

        private void answer(Consumer<Reply> reply) {
            if (!script.isEmpty()) {
                Reply next = script.poll();
                timers.schedule(answerAfterMillis, () -> reply.accept(next));
            }
        }
    }

    /** A listener that records its calls. */
    private final class RecordingListener implements TableListener {
        @Override
        public void tableReplaced(RowPage page) {
            seen.add("replaced " + page.rows().stream().map(StoreRow::key).toList());
        }

        @Override
        public void rowsChanged(RowPage page) {
            seen.add("changed " + page.rows().stream().map(StoreRow::key).toList());
            if (page.rows().get(0).key().equals(FAILING_KEY)) {
                throw new IllegalStateException("broken");
            }
        }

        @Override
        public void currentAsOf(long asOfMillis) {
            asOf.add(asOfMillis - START_MILLIS);
        }

        @Override
        public void rowsUnusable(RuntimeException cause) {
            seen.add("unusable: " + cause.getMessage());
        }

        @Override
        public void storeLost(FailedCall call) {
            seen.add("lost");
        }

        @Override
        public void storeStillLost(FailedCall call) {
            seen.add("still lost after " + call.sinceAnswerMillis());
        }

        @Override
        public void storeRegained(long awayMillis) {
            seen.add("regained after " + awayMillis);
        }
    }
}
