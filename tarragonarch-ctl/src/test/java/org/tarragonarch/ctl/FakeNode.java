package org.tarragonarch.ctl;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake node with the parts of the administration and caller API that the operator program uses. */
final class FakeNode implements AutoCloseable {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int CONFLICT = 409;

    /** The number of status calls after which the node adopts the newest configuration. */
    final AtomicInteger statusCallsUntilAdopted = new AtomicInteger();

    /** The number of changes to accept without a reply. */
    final AtomicInteger repliesToDrop = new AtomicInteger();

    final Set<String> drained = ConcurrentHashMap.newKeySet();

    private final FakeSystem system;
    private final String name;
    private final HttpServer server;
    private volatile int inForce;

    FakeNode(FakeSystem system, String name) throws IOException {
        this.system = system;
        this.name = name;
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String called = exchange.getRequestMethod() + " " + path;
        if (!("Bearer " + FakeSystem.TOKEN).equals(exchange.getRequestHeaders().getFirst("Authorization"))) {
            reply(exchange, 401, MAPPER.createObjectNode().put("detail", "nobody holds this token"));
        } else if (called.equals("GET /admin/status")) {
            adopt();
            reply(exchange, 200, status());
        } else if (called.equals("GET /admin/configuration")) {
            String asked = query(exchange).get("version");
            int version = asked == null ? inForce : Integer.parseInt(asked);
            reply(exchange, version == 0 ? 404 : 200, configuration(version));
        } else if (called.equals("POST /admin/configuration")) {
            accept(exchange);
        } else if (called.equals("GET /admin/audit")) {
            replyText(exchange, 200, audit().toString());
        } else if (path.endsWith("/drain")) {
            drain(exchange, path.split("/")[3]);
        } else {
            submit(exchange);
        }
    }

    private void adopt() {
        if (statusCallsUntilAdopted.getAndUpdate(calls -> Math.max(0, calls - 1)) == 0) {
            inForce = system.newest();
        }
    }

    private ObjectNode status() {
        ObjectNode status = MAPPER.createObjectNode()
                .put("node", name)
                .put("domain", name.substring(0, name.indexOf('-')))
                .put("phase", "serving")
                .put("configuration", inForce)
                .put("submissions", 0);
        status.putArray("endpoints")
                .addObject()
                .put("endpoint", "w1")
                .put("domain", "hobart")
                .put("address", "127.0.0.1:9000")
                .put("slots", 8)
                .put("in-flight", 2)
                .put("health", drained.contains("w1") ? "drained" : "live")
                .put("why", "");
        status.putArray("peers");
        status.putArray("queues");
        status.putArray("quotas");
        return status;
    }

    private ObjectNode configuration(int version) {
        ObjectNode answer = MAPPER.createObjectNode().put("version", version);
        if (version > 0) {
            answer.put("digest", system.records().get(version - 1).digest().hex());
            answer.put("canonical", system.text(version));
        }
        return answer;
    }

    private ArrayNode audit() {
        ArrayNode audit = MAPPER.createArrayNode();
        system.records()
                .forEach(record -> audit.insertObject(0)
                        .put("version", record.version().value())
                        .put("from", record.from().value())
                        .put("digest", record.digest().hex())
                        .put("change", record.change().value())
                        .put("operator", record.operator().value())
                        .put("when", record.when().toString())
                        .put("summary", record.summary()));
        return audit;
    }

    private void accept(HttpExchange exchange) throws IOException {
        if (system.storeUnavailable) {
            reply(exchange, 503, MAPPER.createObjectNode().put("code", "platform-unavailable"));
            return;
        }
        Map<String, String> query = query(exchange);
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        int version =
                system.accept(Integer.parseInt(query.get("from")), query.get("change"), query.get("summary"), text);
        if (repliesToDrop.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            exchange.close();
        } else if (version == 0) {
            reply(exchange, CONFLICT, MAPPER.createObjectNode().put("detail", "version 2 by ben was accepted first"));
        } else {
            reply(exchange, 200, MAPPER.createObjectNode().put("version", version));
        }
    }

    private void drain(HttpExchange exchange, String endpoint) throws IOException {
        if (exchange.getRequestMethod().equals("DELETE")) {
            drained.remove(endpoint);
        } else {
            drained.add(endpoint);
        }
        reply(exchange, 200, MAPPER.createObjectNode());
    }

    private void submit(HttpExchange exchange) throws IOException {
        if (exchange.getRequestURI().getPath().equals("/v1/services/proof-board/jobs/word-count")) {
            ObjectNode answer =
                    MAPPER.createObjectNode().put("outcome", "complete").put("id", "s1");
            answer.set("results", MAPPER.readTree(exchange.getRequestBody()).path("tasks"));
            reply(exchange, 200, answer);
        } else {
            reply(
                    exchange,
                    404,
                    MAPPER.createObjectNode()
                            .put("outcome", "not-run")
                            .put("code", "unknown-service")
                            .put("detail", "there is no such service"));
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            query.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
        }
        return query;
    }

    private static void reply(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        replyText(exchange, status, body.toString());
    }

    private static void replyText(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
