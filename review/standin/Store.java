import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound stand-in for the platform's store: rows in tables, read whole, followed and written; loses nothing. */
final class Store {
    private static final Pattern TX_ROW = Pattern.compile(
            "\\{\"Table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\"\\}");

    private record Row(String table, String key, String value, long ver, boolean deleted) {
        String json() {
            return "{\"Table\":\"" + table + "\",\"part\":\"\",\"Key\":\"" + key + "\",\"Value\":\"" + value
                    + "\",\"Ver\":" + ver + (deleted ? ",\"Deleted\":true}" : "}");
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final HttpServer server;
    private long version;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon()));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes a row as the operator or a worker does; the return is the acknowledgement. */
    synchronized void put(String table, String key, String json) {
        putEncoded(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
    }

    synchronized void remove(String table, String key) {
        putEncoded(table, key, "", true);
    }

    /** Returns the keys of a table's rows. */
    synchronized List<String> keys(String table) {
        List<String> keys = new ArrayList<>();
        tables.getOrDefault(table, new TreeMap<>()).values().stream()
                .filter(row -> !row.deleted())
                .forEach(row -> keys.add(row.key()));
        return keys;
    }

    private synchronized void putEncoded(String table, String key, String value, boolean deleted) {
        version++;
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, new Row(table, key, value, version, deleted));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String query = exchange.getRequestURI().getQuery();
            byte[] body = exchange.getRequestBody().readAllBytes();
            Thread.sleep(4);
            switch (exchange.getRequestURI().getPath()) {
                case "/rows-get" -> answer(exchange, rows(query, parameter(query, "Table"), 0, false));
                case "/rows-feed" -> {
                    long after = Long.parseLong(parameter(query, "After"));
                    awaitRow(parameter(query, "Table"), after, Long.parseLong(parameter(query, "WaitMs")));
                    answer(exchange, rows("", parameter(query, "Table"), after, true));
                }
                case "/rows-tx" -> {
                    Matcher row = TX_ROW.matcher(new String(body, StandardCharsets.UTF_8));
                    while (row.find()) {
                        putEncoded(row.group(1), row.group(3), row.group(4), false);
                    }
                    answer(exchange, "{\"Ver\":" + version() + "}");
                }
                default -> exchange.sendResponseHeaders(404, -1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized long version() {
        return version;
    }

    private synchronized void awaitRow(String table, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (!hasNewer(table, after)) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return;
            }
            wait(left);
        }
    }

    private boolean hasNewer(String table, long after) {
        return tables.getOrDefault(table, new TreeMap<>()).values().stream().anyMatch(row -> row.ver() > after);
    }

    private synchronized String rows(String query, String table, long after, boolean withDeleted) {
        String from = query.contains("From=") ? parameter(query, "From") : "";
        StringBuilder json = new StringBuilder("{\"rows\":[");
        String separator = "";
        for (Row row : tables.getOrDefault(table, new TreeMap<>()).values()) {
            if (row.ver() > after && row.key().compareTo(from) >= 0 && (withDeleted || !row.deleted())) {
                json.append(separator).append(row.json());
                separator = ",";
            }
        }
        return json + "],\"HasMore\":false,\"Ver\":" + version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}";
    }

    private static void answer(HttpExchange exchange, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static String parameter(String query, String name) {
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        throw new IllegalArgumentException("no " + name + " in " + query);
    }
}
