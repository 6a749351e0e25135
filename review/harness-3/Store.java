import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: rows, transactions, readings and a feed of changes. */
final class Store {
    private static final long READ_MILLIS = 4;
    private static final long TRANSACTION_MILLIS = 8;
    private static final int MAX_ROWS = 500;

    /** The number of a caller at the common address. */
    static final int ANYBODY = -1;

    private final String ip;
    private final HttpServer server;
    private final List<HttpServer> ownServers = new ArrayList<>();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Change> feed = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private long version;
    private volatile Trouble trouble = (node, call) -> Treatment.SERVE;

    Store(String ip) throws IOException {
        this.ip = ip;
        server = new HttpServer(ip, 0, request -> handle(ANYBODY, request));
    }

    /** Opens an address of the store for one node alone, so that its calls can be told from those of the others. */
    String openAddressFor(int node) throws IOException {
        HttpServer own = new HttpServer(ip, 0, request -> handle(node, request));
        ownServers.add(own);
        return own.address();
    }

    String address() {
        return server.address();
    }

    /** Sets how calls are treated from now on. */
    void trouble(Trouble next) {
        trouble = next;
    }

    void close() {
        ownServers.forEach(HttpServer::close);
        server.close();
    }

    /** Writes a row as another writer than the nodes: the operator or a worker. */
    synchronized void put(String table, String key, String value) {
        apply(List.of(Json.of("Table", table, "Key", key, "Value", encode(value))), List.of());
    }

    synchronized void remove(String table, String key) {
        apply(List.of(), List.of(Json.of("Table", table, "Key", key)));
    }

    /** Returns the value of a row as text; empty if there is none. */
    synchronized String read(String table, String key) {
        Row row = rows.get(name(table, key));
        return row == null ? "" : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private HttpServer.Response handle(int node, HttpServer.Request request) throws InterruptedException {
        Treatment treatment = trouble.treat(node, request);
        if (treatment.refusal() > 0) {
            return HttpServer.Response.json(treatment.refusal(), "Error", "away");
        }
        if (treatment.isSilent()) {
            return null;
        }
        if (treatment.lateMillis() > 0) {
            HttpServer.daemon(() -> performLate(request, treatment.lateMillis()), "late call");
            return null;
        }
        return switch (request.path()) {
            case "/rows-get" -> readRows(request.query());
            case "/rows-feed" -> follow(request.query());
            case "/rows-tx" -> transact(request.body());
            default -> HttpServer.Response.json(404, "Error", "no such call");
        };
    }

    private void performLate(HttpServer.Request request, long millis) {
        try {
            Thread.sleep(millis);
            transact(request.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpServer.Response readRows(Map<String, String> query) throws InterruptedException {
        Thread.sleep(READ_MILLIS);
        synchronized (this) {
            String table = query.get("Table");
            String from = name(table, query.getOrDefault("From", ""));
            List<Object> found = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<String, Row> entry : rows.tailMap(from, true).entrySet()) {
                if (!entry.getValue().table().equals(table)) {
                    break;
                }
                if (found.size() == MAX_ROWS) {
                    more = true;
                    break;
                }
                found.add(entry.getValue().json());
            }
            return HttpServer.Response.json(200, "rows", found, "HasMore", more, "Ver", version, "NowMs", now());
        }
    }

    private HttpServer.Response follow(Map<String, String> query) throws InterruptedException {
        Thread.sleep(READ_MILLIS);
        String table = query.get("Table");
        long after = Long.parseLong(query.get("After"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        synchronized (this) {
            while (true) {
                TreeMap<Long, Object> changed = new TreeMap<>();
                Map<String, Long> latest = new TreeMap<>();
                for (Change change : feed) {
                    if (change.version() > after && change.row().table().equals(table)) {
                        Long earlier = latest.put(change.row().key(), change.version());
                        if (earlier != null) {
                            changed.remove(earlier);
                        }
                        changed.put(change.version(), change.json());
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (!changed.isEmpty() || left <= 0) {
                    return HttpServer.Response.json(
                            200, "rows", changed.values(), "HasMore", false, "Ver", version, "NowMs", now());
                }
                wait(left);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private HttpServer.Response transact(String body) throws InterruptedException {
        Thread.sleep(TRANSACTION_MILLIS);
        Map<String, Object> call = Json.object(body);
        synchronized (this) {
            for (Object condition : (List<Object>) call.getOrDefault("Precondition", List.of())) {
                Map<String, Object> row = (Map<String, Object>) condition;
                Row present = rows.get(name((String) row.get("Table"), (String) row.get("Key")));
                if ((present == null ? 0 : present.version()) != (Long) row.get("Ver")) {
                    return HttpServer.Response.json(412, "rows", present == null ? List.of() : List.of(present.json()));
                }
            }
            apply(
                    (List<Map<String, Object>>) call.getOrDefault("SetKeys", List.of()),
                    (List<Map<String, Object>>) call.getOrDefault("Remove", List.of()));
            return HttpServer.Response.json(200, "Ver", version, "NowMs", now());
        }
    }

    private synchronized void apply(List<Map<String, Object>> set, List<Map<String, Object>> removed) {
        version++;
        for (Map<String, Object> row : set) {
            Row next = new Row(
                    (String) row.get("Table"), (String) row.get("Key"), (String) row.get("Value"), version);
            rows.put(name(next.table(), next.key()), next);
            feed.add(new Change(version, next, false));
        }
        for (Map<String, Object> row : removed) {
            Row gone = rows.remove(name((String) row.get("Table"), (String) row.get("Key")));
            if (gone != null) {
                feed.add(new Change(version, gone, true));
            }
        }
        notifyAll();
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static String name(String table, String key) {
        return table + "\0" + key;
    }

    /** Decides how a call is treated. */
    interface Trouble {
        Treatment treat(int node, HttpServer.Request call);
    }

    /**
     * How a call is treated.
     *
     * @param refusal the status of a refusal; 0 if the call is not refused
     * @param isSilent whether the call is neither performed nor answered
     * @param lateMillis after which time the call is performed without an answer; 0 if it is performed now
     */
    record Treatment(int refusal, boolean isSilent, long lateMillis) {
        static final Treatment SERVE = new Treatment(0, false, 0);

        static Treatment refuse(int status) {
            return new Treatment(status, false, 0);
        }

        static Treatment late(long millis) {
            return new Treatment(0, false, millis);
        }
    }

    private record Row(String table, String key, String value, long version) {
        Map<String, Object> json() {
            return Json.of("Table", table, "part", "", "Key", key, "Value", value, "Ver", version);
        }
    }

    private record Change(long version, Row row, boolean deleted) {
        Map<String, Object> json() {
            Map<String, Object> json = row.json();
            json.put("Ver", version);
            if (deleted) {
                json.remove("Value");
                json.put("Deleted", true);
            }
            return json;
        }
    }
}
