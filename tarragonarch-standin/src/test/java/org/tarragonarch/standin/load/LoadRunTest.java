package org.tarragonarch.standin.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.tarragonarch.standin.http.HttpExchange;
import org.tarragonarch.standin.http.HttpHandler;
import org.tarragonarch.standin.http.HttpReply;
import org.tarragonarch.standin.http.HttpServer;
import org.testng.annotations.Test;

public final class LoadRunTest {
    private static final int JOBS = 200;

    @Test
    public void testRun_validAnswers() {
        ObjectNode result = runAgainst(exchange -> exchange.reply(complete(exchange, 0)));

        assertEquals(result.path("wrong-answers").asInt(), 0);
        assertEquals(result.path("outcomes").path("complete").asInt(), JOBS);
        assertTrue(result.path("response-ms").path("p99").asDouble() > 0);
    }

    @Test
    public void testRun_resultsInWrongOrder() {
        ObjectNode result = runAgainst(exchange -> exchange.reply(complete(exchange, 1)));

        assertTrue(result.path("wrong-answers").asInt() > 0);
    }

    @Test
    public void testRun_refusalsAndBrokenConnections() {
        ObjectNode problem =
                JsonNodeFactory.instance.objectNode().put("outcome", "not-run").put("code", "queue-full");
        ObjectNode result = runAgainst(exchange -> {
            if (exchange.path().contains("/jobs/")) {
                exchange.close();
            } else {
                exchange.reply(HttpReply.json(503, problem).withHeader("Outcome", "not-run"));
            }
        });

        int refused = result.path("outcomes").path("not-run").asInt();
        assertEquals(refused + result.path("outcomes").path("no-answer").asInt(), JOBS);
        assertEquals(result.path("problems").path("not-run queue-full").asInt(), refused);
        assertEquals(result.path("refusals-without-retry-after").asInt(), refused);
    }

    @Test
    public void testArrivals_sameSeedSameTimesAndMeanRate() {
        for (ArrivalPattern pattern : ArrivalPattern.values()) {
            Arrivals first = new Arrivals(new SplittableRandom(3), pattern, 100);
            Arrivals second = new Arrivals(new SplittableRandom(3), pattern, 100);
            long last = 0;
            for (int i = 0; i < 10_000; i++) {
                last = first.nextNanos();
                assertEquals(second.nextNanos(), last);
            }
            assertEquals(last / 1e9, 100, 5, pattern + ": seconds for 10,000 arrivals at 100 a second");
        }
    }

    @Test
    public void testShape_sizesAndRunTimesStayInTheirRange() {
        for (LoadShape shape : LoadShape.values()) {
            SplittableRandom random = new SplittableRandom(5);
            for (int i = 0; i < 5_000; i++) {
                JobPlan plan = shape.nextPlan(random);
                assertTrue(plan.runTimesMillis().size() <= 110);
                assertTrue(plan.runTimesMillis().stream().allMatch(millis -> millis >= 50 && millis <= 5_000));
            }
        }
    }

    private static ObjectNode runAgainst(HttpHandler node) {
        try (HttpServer server = HttpServer.start("127.0.0.1", 0, node, () -> false)) {
            LoadOptions options = new LoadOptions(
                    ImmutableList.of(server.address()),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    "token",
                    "proof-board",
                    "sleep",
                    LoadShape.DERWENT,
                    ArrivalPattern.STEADY,
                    1_000,
                    0,
                    Duration.ofSeconds(5),
                    JOBS,
                    Duration.ofSeconds(5),
                    1,
                    0.5,
                    Optional.empty(),
                    Duration.ofMillis(1),
                    7);
            return LoadRun.run(options, line -> {});
        }
    }

    /** Returns an answer whose results are the inputs, rotated by a number of positions. */
    private static HttpReply complete(HttpExchange exchange, int rotation) {
        ObjectNode answer = JsonNodeFactory.instance.objectNode().put("outcome", "complete");
        JsonNode message = exchange.json();
        if (message.has("input")) {
            answer.set("result", message.path("input"));
        } else {
            ArrayNode results = answer.putArray("results");
            int tasks = message.path("tasks").size();
            for (int i = 0; i < tasks; i++) {
                results.add(message.path("tasks").get((i + rotation) % tasks).path("input"));
            }
        }
        return HttpReply.json(200, answer).withHeader("Outcome", "complete");
    }
}
