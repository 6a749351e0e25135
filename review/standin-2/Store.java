import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store, as PROTOCOL.md describes it: rows in tables, transactions, reads and a feed of changes.
 *
 * <p>Each machine calls it at an address of its own, so that it can turn single machines away. Faults are those that the
 * pages name: slow answers, writes that are done late and not answered, and machines that are turned away.
 */
final class Store {
    private static final long READ_MILLIS = 4;
    private static final long TX_MILLIS = 8;

    private final Record record;
    private final Map<String, TreeMap<String, Row>> tables = new LinkedHashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    private volatile long slowFactor = 1;
    private String delayedTable = "";
    private long delayMillis;

    Store(Record record) {
        this.record = record;
    }

    record Row(String table, String key, String value, long version) {}

    /** The address of the store for one machine. */
    final class Gate {
        private final Http.Server server;
        private volatile boolean turnsAway;

        Gate() throws IOException {
            this.server = new Http.Server("127.0.0.1", request -> turnsAway ? busy() : answer(request));
        }

        String address() {
            return server.address();
        }

        /** Turns the machine away from now on (503), or serves it again. */
        void turnAway(boolean away) {
            turnsAway = away;
        }

        private Http.Answer busy() throws InterruptedException {
            Thread.sleep(READ_MILLIS);
            return new Http.Answer(503, "");
        }
    }

    /** Makes every answer take this many times as long. */
    void slow(long factor) {
        slowFactor = factor;
    }

    /** Leaves the next write to the table unanswered and performs it this much later. */
    synchronized void delayNextWriteTo(String table, long millis) {
        delayedTable = table;
        delayMillis = millis;
    }

    synchronized boolean isDelayPending() {
        return !delayedTable.isEmpty();
    }

    synchronized void put(String table, String key, String value) {
        version++;
        Row row = new Row(table, key, value, version);
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, row);
        history.add(row);
        notifyAll();
    }

    /** Returns the text of a row, or an empty text. */
    synchronized String text(String table, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row == null ? "" : row.value();
    }

    private Http.Answer answer(Http.Request request) throws InterruptedException {
        return switch (request.path()) {
            case "/rows-get" -> rowsGet(request);
            case "/rows-feed" -> rowsFeed(request);
            case "/rows-tx" -> rowsTx(request);
            default -> new Http.Answer(404, "");
        };
    }

    private Http.Answer rowsGet(Http.Request request) throws InterruptedException {
        Thread.sleep(READ_MILLIS * slowFactor);
        synchronized (this) {
            TreeMap<String, Row> rows = tables.getOrDefault(request.query("Table"), new TreeMap<>());
            return page(new ArrayList<>(rows.tailMap(request.query("From")).values()), true);
        }
    }

    private Http.Answer rowsFeed(Http.Request request) throws InterruptedException {
        Thread.sleep(READ_MILLIS * slowFactor);
        long after = Long.parseLong(request.query("After"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(request.query("WaitMs"));
        synchronized (this) {
            while (true) {
                Map<String, Row> changed = new LinkedHashMap<>();
                for (Row row : history) {
                    if (row.version() > after && row.table().equals(request.query("Table"))) {
                        changed.remove(row.key());
                        changed.put(row.key(), row);
                    }
                }
                long left = until - System.nanoTime() / 1_000_000;
                if (!changed.isEmpty() || left <= 0) {
                    return page(new ArrayList<>(changed.values()), false);
                }
                wait(left);
            }
        }
    }

    private Http.Answer page(List<Row> rows, boolean withMore) {
        List<Object> written = new ArrayList<>();
        for (Row row : rows) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("Table", row.table());
            one.put("part", "");
            one.put("Key", row.key());
            one.put("Value", Base64.getEncoder().encodeToString(row.value().getBytes(StandardCharsets.UTF_8)));
            one.put("Ver", row.version());
            written.add(one);
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("rows", written);
        if (withMore) {
            page.put("HasMore", false);
        }
        page.put("Ver", version);
        page.put("NowMs", System.nanoTime() / 1_000_000);
        return new Http.Answer(200, Json.write(page));
    }

    private Http.Answer rowsTx(Http.Request request) throws InterruptedException {
        List<?> sets = (List<?>) Json.readObject(request.body()).getOrDefault("SetKeys", List.of());
        long late = takeDelay(sets);
        if (late > 0) {
            Http.daemon(() -> {
                sleep(late);
                apply(sets, "late, not answered");
            });
            return new Http.Answer(0, "");
        }
        Thread.sleep(TX_MILLIS * slowFactor);
        apply(sets, "answered");
        return new Http.Answer(200, "{\"Ver\":" + version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}");
    }

    private synchronized long takeDelay(List<?> sets) {
        boolean isDelayed = sets.stream().anyMatch(set -> ((Map<?, ?>) set).get("Table").equals(delayedTable));
        if (!isDelayed) {
            return 0;
        }
        record.write("store", "a write to '" + delayedTable + "' is not answered and will be done in " + delayMillis + " ms");
        delayedTable = "";
        return delayMillis;
    }

    private synchronized void apply(List<?> sets, String how) {
        for (Object each : sets) {
            Map<?, ?> set = (Map<?, ?>) each;
            String value = new String(Base64.getDecoder().decode((String) set.get("Value")), StandardCharsets.UTF_8);
            put((String) set.get("Table"), (String) set.get("Key"), value);
            if (set.get("Table").equals("cancellations")) {
                record.write("store", "row cancellations/" + set.get("Key") + " written (" + how + "): "
                        + value.replace("\n", "; "));
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
