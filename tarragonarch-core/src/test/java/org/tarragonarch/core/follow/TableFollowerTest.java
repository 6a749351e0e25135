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

/** Following a table whose store answers as a script says. */
public final class TableFollowerTest {
    /** Where virtual time begins. */
    private static final long BEGIN_MILLIS = new VirtualTimers().nowMillis();

    /** The key of a row that the listener breaks on. */
    private static final String BREAKING = "!";

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
        new TableFollower(new ScriptedStore(), StoreTable.OPERATOR, timers, new Notes(), FollowPace.waiting(1_000))
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

    /** Guards against a node that takes a shard and reads the endpoints only after its long pause. */
    @Test
    public void testChangePace_overdueCallIsMadeAtOnce() {
        TableFollowerTest test = new TableFollowerTest();
        test.script.addAll(List.of(page(5, "a"), page(6, "b"), page(7, "c")));
        TableFollower follower = new TableFollower(
                test.new ScriptedStore(), StoreTable.ENDPOINTS, test.timers, test.new Notes(), FollowPace.every(3_600));
        follower.start();
        test.timers.advance(1_000);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]"));
        follower.changePace(FollowPace.every(900));
        test.timers.advance(10);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]", "follow 5", "changed [b]"));
        follower.changePace(FollowPace.every(3_600));
        test.timers.advance(3_500);
        assertEquals(test.seen.size(), 4);
        test.timers.advance(200);
        assertEquals(test.seen.size(), 6);
    }

    /** The store forgets its history: what was missed is read whole, or a configuration would never be heard of. */
    /** Guards against a node that has claimed a shard and goes by a list that is up to 0.9 s old. */
    @Test
    public void testFollowNow_duringThePause() {
        TableFollowerTest test = new TableFollowerTest();
        test.script.addAll(List.of(page(5, "a"), page(6, "b"), page(7, "c")));
        TableFollower follower = new TableFollower(
                test.new ScriptedStore(), StoreTable.ENDPOINTS, test.timers, test.new Notes(), FollowPace.every(900));
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

    /** Guards against two calls at a time, of which the later answer may be the older one. */
    @Test
    public void testFollowNow_callUnderWay() {
        TableFollowerTest test = new TableFollowerTest();
        test.answerAfterMillis = 50;
        test.script.addAll(List.of(page(5, "a"), page(6, "b")));
        TableFollower follower = new TableFollower(
                test.new ScriptedStore(), StoreTable.ENDPOINTS, test.timers, test.new Notes(), FollowPace.every(900));
        follower.start();
        follower.followNow();
        test.timers.advance(100);
        assertEquals(test.seen, ImmutableList.of("read", "replaced [a]"));
    }

    @Test
    public void testFollow_historyGone() {
        TableFollowerTest test = new TableFollowerTest();
        test.run(page(5, "a"), RowStore.Reply.of(StoreResult.HISTORY_GONE), page(90, "b"));
        assertEquals(
                test.seen, ImmutableList.of("read", "replaced [a]", "follow 5", "read", "replaced [b]", "follow 90"));
    }

    /** The store is away for a while: it is asked again and again, from where the follower stood. */
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

    /** Guards against an answer held up on its way that is taken as valid for the moment of its arrival. */
    @Test
    public void testCurrent_answerHeldUp() {
        TableFollowerTest test = new TableFollowerTest();
        test.answerAfterMillis = 1_700;
        test.run(page(5, "a"), page(5), page(7, "b"));
        assertEquals(test.asOf, ImmutableList.of(0L, 1_700L + 1_000, 3_400L));
    }

    /** Guards against a follower that makes no further call after its listener threw. */
    @Test
    public void testFollow_listenerBreaks() {
        TableFollowerTest test = new TableFollowerTest();
        test.run(page(5, "a"), page(7, BREAKING), page(8, "b"));
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

    /** Answers as the script says, and not at all when it is over. */
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
            throw new AssertionError("a follower writes nothing");
        }

        private void answer(Consumer<Reply> reply) {
            if (!script.isEmpty()) {
                Reply next = script.poll();
                timers.schedule(answerAfterMillis, () -> reply.accept(next));
            }
        }
    }

    /** Notes what a listener is told. */
    private final class Notes implements TableListener {
        @Override
        public void replaced(RowPage page) {
            seen.add("replaced " + page.rows().stream().map(StoreRow::key).toList());
        }

        @Override
        public void changed(RowPage page) {
            seen.add("changed " + page.rows().stream().map(StoreRow::key).toList());
            if (page.rows().get(0).key().equals(BREAKING)) {
                throw new IllegalStateException("broken");
            }
        }

        @Override
        public void current(long asOfMillis) {
            asOf.add(asOfMillis - BEGIN_MILLIS);
        }

        @Override
        public void unusable(RuntimeException why) {
            seen.add("unusable: " + why.getMessage());
        }

        @Override
        public void lost(FailedCall call) {
            seen.add("lost");
        }

        @Override
        public void stillLost(FailedCall call) {
            seen.add("still lost after " + call.sinceAnswerMillis());
        }

        @Override
        public void regained(long awayMillis) {
            seen.add("regained after " + awayMillis);
        }
    }
}
