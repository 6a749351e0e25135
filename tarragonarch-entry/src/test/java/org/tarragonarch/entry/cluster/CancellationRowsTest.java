package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.JobId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Cancellations that nodes write to the store and read when they start. */
public final class CancellationRowsTest {
    private static final long RETENTION_MILLIS = 120_000;

    /** Longer than the interval between two writes, or until a failed call is repeated, in milliseconds. */
    private static final long NEXT_CALL_MILLIS = 300;

    private ManualTimers timers;
    private FakeStore store;
    private List<String> events;

    /** Creates an empty store. */
    @BeforeMethod
    public void createStore() {
        timers = new ManualTimers();
        store = new FakeStore();
        events = new ArrayList<>();
    }

    private CancellationRows start(String node) {
        DecisionLog log = new DecisionLog(node, new PrintStream(OutputStream.nullOutputStream()));
        CancellationRows rows =
                new CancellationRows(store, NodeId.of(node), timers, timers::nowMillis, RETENTION_MILLIS, log);
        rows.start((job, source) -> events.add(job.value().substring(15) + " " + source));
        return rows;
    }

    private void add(CancellationRows rows, int job) {
        rows.add(new JobId(String.format("%016x", job)), () -> events.add("stored " + job));
    }

    /** Guards against a cancelled job that runs after all nodes have lost their memory at once. */
    @Test
    public void testStart_afterLossOfAllNodes() {
        CancellationRows first = start("a");
        add(first, 1);
        CancellationRows second = start("b");
        add(second, 2);
        events.clear();
        start("a");
        assertEquals(events, ImmutableList.of("1 CLIENT", "2 REPETITION"));
    }

    /** Guards against a node whose first write after a restart removes what it wrote before. */
    @Test
    public void testAdd_afterRestart() {
        add(start("a"), 1);
        add(start("a"), 2);
        events.clear();
        start("b");
        assertEquals(events, ImmutableList.of("1 REPETITION", "2 REPETITION"));
    }

    /** Guards against cancellations that are kept for ever, because nodes restart and read them. */
    @Test
    public void testStart_expired() {
        add(start("a"), 1);
        timers.advance(RETENTION_MILLIS);
        events.clear();
        start("a");
        assertEquals(events, ImmutableList.of());
    }

    /** Guards against a store that is written more often than it bears while clients cancel many jobs. */
    @Test
    public void testAdd_manyAtOnce() {
        CancellationRows rows = start("a");
        for (int job = 1; job <= 9; job++) {
            add(rows, job);
        }
        assertEquals(events, ImmutableList.of("stored 1"));
        timers.advance(NEXT_CALL_MILLIS);
        assertEquals(events.size(), 9);
        assertEquals(store.writes, 2);
    }

    /** Guards against clients that wait for a store that is away, and a cancellation that is lost with an outage. */
    @Test
    public void testAdd_storeAway() {
        CancellationRows rows = start("a");
        store.isAway = true;
        add(rows, 1);
        timers.advance(NEXT_CALL_MILLIS);
        add(rows, 2);
        assertEquals(events, ImmutableList.of("stored 1", "stored 2"));
        store.isAway = false;
        timers.advance(NEXT_CALL_MILLIS);
        events.clear();
        start("b");
        assertEquals(events, ImmutableList.of("1 REPETITION", "2 REPETITION"));
    }

    /** Guards against a node that replaces its row before it has read it, as the store was away at its start. */
    @Test
    public void testStart_storeAway() {
        add(start("a"), 1);
        store.isAway = true;
        add(start("a"), 2);
        store.isAway = false;
        timers.advance(NEXT_CALL_MILLIS);
        events.clear();
        start("b");
        assertEquals(events, ImmutableList.of("2 REPETITION", "1 REPETITION"));
    }

    /** Guards against a row by another program that keeps a node from reading the others. */
    @Test
    public void testStart_unreadableRow() {
        store.rows.put("0", "no row of a node".getBytes(StandardCharsets.UTF_8));
        add(start("a"), 1);
        events.clear();
        start("b");
        assertEquals(events, ImmutableList.of("1 REPETITION"));
    }

    /** A store that answers at once. */
    private static final class FakeStore implements RowStore {
        private final Map<String, byte[]> rows = new TreeMap<>();
        private boolean isAway;
        private int writes;

        @Override
        public void read(StoreTable table, Consumer<Reply> reply) {
            if (isAway) {
                reply.accept(Reply.of(StoreResult.TURNED_AWAY));
                return;
            }
            ImmutableList<StoreRow> read = rows.entrySet().stream()
                    .map(row -> new StoreRow(row.getKey(), row.getValue(), false))
                    .collect(ImmutableList.toImmutableList());
            reply.accept(new Reply(StoreResult.DONE, Optional.of(new RowPage(read, 1))));
        }

        @Override
        public void follow(StoreTable table, long afterVersion, long waitMillis, Consumer<Reply> reply) {
            throw new AssertionError(table);
        }

        @Override
        public void put(StoreTable table, String key, byte[] value, Consumer<Reply> reply) {
            if (!isAway) {
                rows.put(key, value);
                writes++;
            }
            reply.accept(Reply.of(isAway ? StoreResult.UNKNOWN : StoreResult.DONE));
        }
    }
}
