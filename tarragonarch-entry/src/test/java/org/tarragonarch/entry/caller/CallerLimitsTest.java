package org.tarragonarch.entry.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.entry.Eventually;
import org.tarragonarch.entry.http.HttpLimits;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public final class CallerLimitsTest {
    private static final String REQUESTS = "/v1/services/proof-board/requests/word-count";
    private static final int MAX_BYTES = 10_000;
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration SHORT = Duration.ofMillis(200);

    private CallerFixture fixture;
    private FakeCore core;

    @AfterMethod
    public void tearDown() {
        fixture.close();
    }

    @Test
    public void testOversizedBody_answeredAndConnectionUsable() throws Exception {
        start(LONG, LONG, LONG);
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(REQUESTS, "x".repeat(MAX_BYTES + 1)))
                    .read();
            assertEquals(answer.status(), 413);
            assertEquals(answer.header("Outcome"), "not-run");
            assertTrue(answer.body().contains("larger than 10000 bytes"), answer.body());
            assertEquals(
                    client.send(RawClient.post(REQUESTS, "{\"input\":1}"))
                            .read()
                            .status(),
                    429);
        }
        assertEquals(core.events(SubmissionArrived.class).size(), 1);
        assertCut("body-too-large");
    }

    @Test
    public void testOversizedBody_announced() throws Exception {
        start(LONG, LONG, LONG);
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(REQUESTS, "", "Expect: 100-continue")
                            .replace("Content-Length: 0", "Content-Length: 99999999"))
                    .read();
            assertEquals(answer.status(), 413);
            assertEquals(answer.header("Outcome"), "not-run");
        }
    }

    // Guards against an endless body that fills the node's memory, or whose refusal is sent only at its end.
    @Test
    public void testEndlessChunks() throws Exception {
        start(LONG, Duration.ofMillis(400), LONG);
        try (RawClient client = fixture.connect()) {
            String head = RawClient.post(REQUESTS, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
            String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
            client.send(head + chunk + chunk + chunk);
            assertEquals(client.read().status(), 413);
            assertTrue(client.closedByServer());
        }
        assertCut("slow-sender");
    }

    @Test
    public void testOversizedHeaders() throws Exception {
        start(LONG, LONG, LONG);
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(
                            RawClient.post(REQUESTS, "{\"input\":1}", "X-Filler: " + "x".repeat(5_000)))
                    .read();
            assertEquals(answer.status(), 431);
            assertEquals(answer.header("Outcome"), "not-run");
            assertTrue(client.closedByServer());
        }
        assertCut("headers-too-large");
    }

    @Test
    public void testNotHttp() throws Exception {
        start(LONG, LONG, LONG);
        try (RawClient client = fixture.connect()) {
            assertEquals(client.send("\u0016\u0003\u0001 hello\r\n\r\n").read().status(), 400);
            assertTrue(client.closedByServer());
        }
        assertCut("not-http");
    }

    // Guards against a client that keeps a connection open indefinitely by sending its headers one byte at a time.
    @Test
    public void testSlowHead() throws Exception {
        start(LONG, SHORT, LONG);
        try (RawClient client = fixture.connect()) {
            client.send("POST " + REQUESTS + " HTTP/1.1\r\nX");
            assertTrue(client.closedByServer());
        }
        assertCut("slow-sender");
    }

    @Test
    public void testSlowBody() throws Exception {
        start(LONG, SHORT, LONG);
        try (RawClient client = fixture.connect()) {
            client.send(RawClient.post(REQUESTS, "").replace("Content-Length: 0", "Content-Length: 11") + "{\"inp");
            assertTrue(client.closedByServer());
        }
        assertCut("slow-sender");
        assertTrue(core.events(SubmissionArrived.class).isEmpty());
    }

    @Test
    public void testIdle() throws Exception {
        start(SHORT, LONG, LONG);
        try (RawClient client = fixture.connect()) {
            assertTrue(client.closedByServer());
        }
        assertCut("idle");
    }

    @Test
    public void testTooManyConnections() throws Exception {
        start(LONG, LONG, LONG);
        List<RawClient> held = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            held.add(fixture.connect());
        }
        Eventually.check(
                "three connections are open", () -> fixture.metrics.scrape().contains("port=\"caller\"} 3.0"));
        try (RawClient client = fixture.connect()) {
            assertTrue(client.closedByServer());
        }
        assertCut("too-many-connections");
        held.get(0).close();
        Eventually.check(
                "one connection is closed", () -> fixture.metrics.scrape().contains("port=\"caller\"} 2.0"));
        assertEquals(
                held.get(1)
                        .send(RawClient.post(REQUESTS, "{\"input\":1}"))
                        .read()
                        .status(),
                429);
    }

    // Guards against a caller that stops reading during a large answer and keeps the answer in memory indefinitely.
    @Test
    public void testSlowReader() throws Exception {
        byte[] large = ("\"" + "x".repeat(30 << 20) + "\"").getBytes(StandardCharsets.UTF_8);
        core = new FakeCore((arrived, sink) -> {
            fixture.bodies.putResult(new TaskId(arrived.id(), 0), large);
            sink.emit(new AnswerComplete(arrived.id()));
        });
        fixture = CallerFixture.start(core, limits(LONG, LONG, SHORT), 1 << 20);
        try (RawClient client = fixture.connect()) {
            client.send(RawClient.post(REQUESTS, "{\"input\":1}"));
            assertCut("slow-reader");
        }
        Eventually.check(
                "the connection is closed", () -> fixture.metrics.scrape().contains("port=\"caller\"} 0.0"));
    }

    // Guards against answers in the wrong order: a caller pipelines a small request and an oversized one, which can be
    // refused before the small one is answered. The caller would take the refusal for the answer to the small one.
    @Test
    public void testOversizedBody_answeredInOrder() throws Exception {
        core = new FakeCore((arrived, sink) -> {});
        fixture = CallerFixture.start(core, limits(LONG, LONG, LONG), 1 << 20);
        try (RawClient client = fixture.connect()) {
            client.send(RawClient.post(REQUESTS, "{\"input\":1}") + RawClient.post(REQUESTS, "x".repeat(20_000)));
            Eventually.check(
                    "the submission arrives",
                    () -> core.events(SubmissionArrived.class).size() == 1);
            fixture.perform(refusal(core.events(SubmissionArrived.class).get(0)));
            assertEquals(client.read().status(), 429);
            assertEquals(client.read().status(), 413);
        }
    }

    private void start(Duration idle, Duration receive, Duration send) throws StepException {
        core = new FakeCore((arrived, sink) -> sink.emit(refusal(arrived)));
        fixture = CallerFixture.start(core, limits(idle, receive, send), 1 << 20);
    }

    private static HttpLimits limits(Duration idle, Duration receive, Duration send) {
        return new HttpLimits(MAX_BYTES, 4_096, 3, idle, receive, send);
    }

    private static AnswerProblem refusal(SubmissionArrived arrived) {
        return new AnswerProblem(arrived.id(), Problem.of(ProblemCode.OVER_QUOTA, Step.ADMIT, "caller", "no"));
    }

    private void assertCut(String cause) throws IOException {
        String counter = "http_cuts_total{cause=\"" + cause + "\",node=\"hobart-1\",port=\"caller\"} 1.0";
        Eventually.check(cause + " is counted", () -> fixture.metrics.scrape().contains(counter));
    }
}
