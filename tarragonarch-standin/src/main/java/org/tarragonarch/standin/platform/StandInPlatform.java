package org.tarragonarch.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.platform.VmRecordJson;
import org.tarragonarch.standin.http.HttpExchange;
import org.tarragonarch.standin.http.HttpReply;
import org.tarragonarch.standin.http.HttpServer;

/**
 * An in-memory platform that implements docs/PLATFORM-PROTOCOL.md and fails on demand.
 *
 * <p>Safe for use by multiple threads. Nothing is persisted.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_SCAN = 1000;
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final TableStore tables = new TableStore();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final VmTable vms = new VmTable();
    private final List<Fault> faults = new CopyOnWriteArrayList<>();
    private final Map<String, Optional<Row>> staleRows = new ConcurrentHashMap<>();
    private final HttpServer server;

    private StandInPlatform(String ip, int port) {
        this.server = HttpServer.start(ip, port, this::handle, () -> false);
    }

    /** Starts a platform on an IP address and a port; port 0 selects any free port. */
    public static StandInPlatform start(String ip, int port) {
        return new StandInPlatform(ip, port);
    }

    /** Returns the address on which the platform listens. */
    public Address address() {
        return server.address();
    }

    /** Adds a VM to the list, or replaces its entry. */
    public void addVm(VmRecord vm) {
        vms.put(vm);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        Optional<Part> part = Part.serving(exchange.path());
        if (part.isEmpty()) {
            exchange.reply(exchange.path().startsWith("/faults") ? switchFault(exchange) : HttpReply.empty(NOT_FOUND));
            return;
        }
        Optional<Fault> fault = faults.stream()
                .filter(one -> one.tryApply(part.get(), exchange.header("Client-Name"), writes(exchange)))
                .findFirst();
        if (fault.isEmpty()) {
            exchange.reply(serve(exchange));
            return;
        }
        applyFault(fault.get(), exchange);
    }

    private void applyFault(Fault fault, HttpExchange exchange) {
        switch (fault.type()) {
            case OUT -> exchange.reply(HttpReply.error(UNAVAILABLE, "out").withHeader("Not-Applied", "true"));
            case CUT -> exchange.close();
            case SLOW -> exchange.scheduleAfter(fault.milliseconds(), () -> exchange.reply(serve(exchange)));
            case REPLY_LOST -> {
                serve(exchange);
                exchange.close();
            }
            case SILENT -> {
                // No answer and no effect; the client must time out.
            }
            default -> throw new AssertionError(fault.type());
        }
    }

    private static boolean writes(HttpExchange exchange) {
        return !exchange.method().equals("GET") && !exchange.path().endsWith("/read");
    }

    private HttpReply serve(HttpExchange exchange) {
        List<String> path = Splitter.on('/').splitToList(exchange.path().substring(1));
        String route = exchange.method() + " " + path.get(0) + (path.size() > 2 ? "/" + path.get(2) : "");
        return switch (route) {
            case "GET tables/rows" -> path.size() > 3 ? readRow(path) : scan(exchange, path.get(1));
            case "POST tables/read" -> readRows(path.get(1), exchange.json());
            case "POST tables/insert" -> insertRows(path.get(1), exchange.json());
            case "POST tables/delete-older" -> deleteOlder(path.get(1), exchange.json());
            case "POST transactions" -> transact(exchange.json());
            case "PUT objects" -> putObject(path.get(1), exchange.body());
            case "GET objects" -> getObject(path.get(1));
            case "GET vms" -> listVms(exchange.header("If-None-Match"));
            case "POST vms" -> putVm(exchange.json());
            case "DELETE vms" -> HttpReply.empty(vms.remove(path.get(1)) ? NO_CONTENT : NOT_FOUND);
            case "POST vms/leaving" -> HttpReply.empty(vms.markLeaving(path.get(1)) ? NO_CONTENT : NOT_FOUND);
            default -> HttpReply.empty(NOT_FOUND);
        };
    }

    private HttpReply readRow(List<String> path) {
        String key = String.join("/", path.subList(3, path.size()));
        return read(path.get(1), key)
                .map(row -> HttpReply.json(OK, row.json()))
                .orElse(HttpReply.error(NOT_FOUND, "no such row"));
    }

    /** Reads a row; if stale reads are switched on for it, returns its state at that time. */
    private Optional<Row> read(String table, String key) {
        Optional<Row> stale = staleRows.get(table + "/" + key);
        return stale != null ? stale : tables.read(table, key);
    }

    private HttpReply scan(HttpExchange exchange, String table) {
        int limit = Math.min(exchange.query("limit").map(Integer::parseInt).orElse(MAX_SCAN), MAX_SCAN);
        boolean descending =
                exchange.query("order").filter("descending"::equals).isPresent();
        return rows(tables.scan(table, exchange.query("from"), exchange.query("to"), descending, limit));
    }

    private HttpReply readRows(String table, JsonNode message) {
        List<Row> found = new ArrayList<>();
        message.path("keys").forEach(key -> read(table, key.asText()).ifPresent(found::add));
        return rows(found);
    }

    private static HttpReply rows(List<Row> found) {
        ObjectNode reply = JSON.objectNode();
        ArrayNode rows = reply.putArray("rows");
        found.forEach(row -> rows.add(row.json()));
        return HttpReply.json(OK, reply);
    }

    private HttpReply insertRows(String table, JsonNode message) {
        ObjectNode reply = JSON.objectNode();
        ArrayNode results = reply.putArray("results");
        for (JsonNode row : message.path("rows")) {
            TableStore.Inserted result =
                    tables.insertIfAbsent(table, row.path("key").asText(), row.path("value"));
            results.addObject()
                    .put("inserted", result.inserted())
                    .set("row", result.row().json());
        }
        return HttpReply.json(OK, reply);
    }

    private HttpReply deleteOlder(String table, JsonNode message) {
        int deleted = tables.deleteOlder(table, message.path("older-than-ms").asLong());
        return HttpReply.json(OK, JSON.objectNode().put("deleted", deleted));
    }

    private HttpReply transact(JsonNode message) {
        List<Operation> operations = new ArrayList<>();
        message.path("operations").forEach(operation -> operations.add(Operation.of(operation)));
        Optional<TableStore.Failure> failure = tables.transact(operations);
        if (failure.isEmpty()) {
            return HttpReply.json(OK, JSON.objectNode().put("applied", true));
        }
        ObjectNode reply = JSON.objectNode()
                .put("applied", false)
                .put("failed", failure.get().index());
        failure.get().currentRow().ifPresent(row -> reply.set("row", row.json()));
        return HttpReply.json(CONFLICT, reply);
    }

    private HttpReply putObject(String name, byte[] body) {
        return HttpReply.empty(objects.putIfAbsent(name, body) == null ? CREATED : PRECONDITION_FAILED);
    }

    private HttpReply getObject(String name) {
        byte[] body = objects.get(name);
        return body == null
                ? HttpReply.error(NOT_FOUND, "no such object")
                : new HttpReply(OK, HttpReply.empty(OK).headers(), body);
    }

    private HttpReply listVms(Optional<String> knownTag) {
        ObjectNode list = JSON.objectNode();
        ArrayNode lines = list.putArray("vms");
        vms.list().forEach(vm -> lines.add(VmRecordJson.write(vm)));
        HttpReply reply = HttpReply.json(OK, list);
        String tag = '"' + ContentDigest.of(reply.body()).hex() + '"';
        return (knownTag.equals(Optional.of(tag)) ? HttpReply.empty(NOT_MODIFIED) : reply).withHeader("ETag", tag);
    }

    private HttpReply putVm(JsonNode message) {
        vms.put(VmRecordJson.read(message));
        return HttpReply.empty(NO_CONTENT);
    }

    private HttpReply switchFault(HttpExchange exchange) {
        if (exchange.method().equals("DELETE")) {
            faults.clear();
            staleRows.clear();
            vms.clearFaults();
            return HttpReply.empty(NO_CONTENT);
        }
        String name = exchange.path().substring(exchange.path().lastIndexOf('/') + 1);
        long milliseconds = exchange.query("ms").map(Long::parseLong).orElse(0L);
        switch (name) {
            case "stale" ->
                freezeRow(
                        exchange.query("table").orElse(""),
                        exchange.query("key").orElse(""));
            case "vms-lag" -> vms.setLag(milliseconds);
            case "vms-frozen" -> vms.freeze();
            default ->
                faults.add(new Fault(
                        FaultType.of(name),
                        exchange.query("part").map(Part::of),
                        exchange.query("client"),
                        milliseconds,
                        exchange.query("count").map(Integer::parseInt).orElse(Integer.MAX_VALUE)));
        }
        return HttpReply.empty(NO_CONTENT);
    }

    private void freezeRow(String table, String key) {
        staleRows.put(table + "/" + key, tables.read(table, key));
    }
}
