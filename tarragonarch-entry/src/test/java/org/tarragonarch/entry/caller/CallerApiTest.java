package org.tarragonarch.entry.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.ForgetAnswer;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.entry.Eventually;
import org.tarragonarch.entry.body.TaskContent;
import org.tarragonarch.entry.http.HttpLimits;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.NodePhase;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class CallerApiTest {
    private static final String REQUESTS = "/v1/services/proof-board/requests/word-count";
    private static final String JOBS = "/v1/services/proof-board/jobs/word-count";
    private static final FakeCore.OnArrival NEVER = (arrived, sink) -> {};

    private CallerFixture fixture;
    private FakeCore core;

    @AfterMethod
    public void tearDown() {
        fixture.close();
    }

    @Test
    public void testRequest_complete() throws Exception {
        start(this::echo);
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(
                            REQUESTS,
                            "{\"input\": {\"n\": 1.00, \"t\": \"\\u00e9é\"}, \"expected-run-time\": \"200ms\"}",
                            "Time-Allowed-Ms: 1500",
                            "Request-Id: mine-1"))
                    .read();

            assertEquals(answer.status(), 200);
            assertEquals(
                    answer.body(),
                    "{\"outcome\":\"complete\",\"id\":\"hobart-1_7_1\","
                            + "\"result\":{\"n\": 1.00, \"t\": \"\\u00e9é\"}}");
            assertEquals(answer.header("Outcome"), "complete");
            assertEquals(answer.header("Submission-Id"), "hobart-1_7_1");
            assertEquals(answer.header("Request-Id"), "mine-1");
        }
        SubmissionArrived arrived = core.events(SubmissionArrived.class).get(0);
        assertEquals(arrived.form(), SubmissionForm.REQUEST);
        assertEquals(arrived.caller(), CallerName.of("upload-page"));
        assertEquals(arrived.timeAllowed(), Optional.of(Duration.ofMillis(1_500)));
        assertEquals(arrived.tasks().get(0).declaredRunTime(), Optional.of(Duration.ofMillis(200)));
        assertEquals(arrived.tasks().get(0).bodyBytes(), 28);
        Eventually.check("bodies are removed", () -> fixture.bodies.bytes() == 0);
    }

    @Test
    public void testJob_resultsInTaskOrder() throws Exception {
        start(this::echo);
        StringBuilder tasks = new StringBuilder();
        StringBuilder results = new StringBuilder();
        for (int i = 0; i < 110; i++) {
            tasks.append(i == 0 ? "" : ",").append("{\"input\":").append(i).append('}');
            results.append(i == 0 ? "" : ",").append(i);
        }
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(JOBS, "{\"tasks\":[" + tasks + "]}"))
                    .read();
            assertEquals(
                    answer.body(), "{\"outcome\":\"complete\",\"id\":\"hobart-1_7_1\",\"results\":[" + results + "]}");
        }
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {REQUESTS, "", "not an object"},
            {REQUESTS, "[1]", "not an object"},
            {REQUESTS, "{\"input\":1", "not JSON"},
            {REQUESTS, "{\"input\":1} x", "not JSON"},
            {REQUESTS, "{\"input\":1} 2", "after the end"},
            {REQUESTS, "{}", "no 'input'"},
            {REQUESTS, "{\"input\":1,\"input\":2}", "'input' appears twice"},
            {REQUESTS, "{\"input\":1,\"inputs\":2}", "'inputs' is not known"},
            {REQUESTS, "{\"input\":1,\"expected-run-time\":200}", "expected-run-time"},
            {REQUESTS, "{\"input\":1,\"expected-run-time\":\"soon\"}", "'soon'"},
            {JOBS, "{\"tasks\":[]}", "at least one task"},
            {JOBS, "{\"tasks\":{}}", "not an array"},
            {JOBS, "{\"tasks\":[{\"input\":1},{}]}", "task 1 has no 'input'"},
            {JOBS, "{\"tasks\":[{\"input\":1}],\"x\":1}", "'x' is not known"},
        };
    }

    @Test(dataProvider = "malformed")
    public void testSubmit_malformed(String path, String body, String detail) throws Exception {
        start(this::echo);
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(path, body)).read();
            assertProblem(answer, 400, "not-run", "malformed");
            assertTrue(answer.body().contains(detail), answer.body());
        }
        assertTrue(core.events(SubmissionArrived.class).isEmpty());
    }

    @DataProvider
    public Object[][] malformedHeaders() {
        return new Object[][] {
            {"Time-Allowed-Ms: 0"},
            {"Time-Allowed-Ms: soon"},
            {"Time-Allowed-Ms: -5"},
            {"Idempotency-Key: a b"},
            {"Request-Id: a b"},
            {"Idempotency-Key: " + "x".repeat(129)},
        };
    }

    @Test(dataProvider = "malformedHeaders")
    public void testSubmit_malformedHeader(String header) throws Exception {
        start(this::echo);
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(REQUESTS, "{\"input\":1}", header))
                    .read();
            assertProblem(answer, 400, "not-run", "malformed");
        }
    }

    @Test
    public void testSubmit_withoutToken() throws Exception {
        start(this::echo);
        String good = RawClient.post(REQUESTS, "{\"input\":1}");
        try (RawClient client = fixture.connect()) {
            for (String bad : ImmutableList.of(
                    good.replace("Authorization", "X-Other"),
                    good.replace("Bearer", "Basic"),
                    good.replace(CallerFixture.TOKEN, CallerFixture.TOKEN + "x"))) {
                RawClient.Answer answer = client.send(bad).read();
                assertProblem(answer, 401, "not-run", "unauthenticated");
                assertEquals(answer.header("WWW-Authenticate"), "Bearer");
                assertTrue(!answer.body().contains(CallerFixture.TOKEN), answer.body());
            }
            assertEquals(client.send(good).read().status(), 200);
        }
    }

    @Test
    public void testSubmit_unknownResource() throws Exception {
        start(this::echo);
        try (RawClient client = fixture.connect()) {
            assertEquals(client.send(RawClient.post("/v1/nothing", "{}")).read().status(), 404);
            RawClient.Answer badName = client.send(
                            RawClient.post("/v1/services/Proof_Board/requests/x", "{\"input\":1}"))
                    .read();
            assertProblem(badName, 404, "not-run", "unknown-service");
        }
    }

    @Test
    public void testSubmit_beforeConfiguration() throws Exception {
        core = new FakeCore(this::echo);
        fixture = CallerFixture.start(core);
        try (CallerFixture bare = CallerFixture.startWithoutConfiguration(core);
                RawClient client = bare.connect()) {
            RawClient.Answer answer =
                    client.send(RawClient.post(REQUESTS, "{\"input\":1}")).read();
            assertProblem(answer, 503, "not-run", "not-ready");
            assertEquals(answer.header("Retry-After"), "1");
        }
    }

    @Test
    public void testSubmit_bodiesFull() throws Exception {
        core = new FakeCore(NEVER);
        fixture = CallerFixture.start(core, HttpLimits.DEFAULT, 10);
        try (RawClient first = fixture.connect();
                RawClient second = fixture.connect()) {
            first.send(RawClient.post(REQUESTS, "{\"input\":12345678}"));
            Eventually.check("the first request is stored", () -> fixture.bodies.bytes() == 8);
            RawClient.Answer answer =
                    second.send(RawClient.post(REQUESTS, "{\"input\":123}")).read();
            assertProblem(answer, 429, "not-run", "queue-full");
            assertEquals(fixture.bodies.bytes(), 8);
        }
    }

    @Test
    public void testProblem_fromCore() throws Exception {
        start((arrived, sink) -> sink.emit(new AnswerProblem(
                arrived.id(),
                Problem.of(ProblemCode.TASK_FAILED, Step.RUN, "hobart-w1", "out of memory")
                        .withTask(new TaskId(arrived.id(), 3))
                        .withRetryAfter(Duration.ofMillis(1_200)))));
        try (RawClient client = fixture.connect()) {
            RawClient.Answer answer = client.send(RawClient.post(REQUESTS, "{\"input\":1}", "Request-Id: r"))
                    .read();
            assertProblem(answer, 502, "failed", "task-failed");
            assertEquals(answer.header("Retry-After"), "2");
            assertTrue(answer.body().contains("\"retry-after-ms\":1200"), answer.body());
            assertTrue(answer.body().contains("\"task\":3"), answer.body());
            assertTrue(answer.body().contains("\"peer\":\"hobart-w1\""), answer.body());
            assertTrue(answer.body().contains("\"id\":\"hobart-1_7_1\",\"request-id\":\"r\""), answer.body());
        }
        Eventually.check("bodies are removed", () -> fixture.bodies.submissionCount() == 0);
    }

    // Guards against a repeated request under one idempotency key that is not answered with the results of the first
    // after the first was answered, and against results that stay stored after the core forgets them.
    @Test
    public void testSameKey_resultsKeptUntilForgotten() throws Exception {
        start((arrived, sink) -> {
            if (arrived.id().sequence() == 1) {
                echo(arrived, sink);
            } else {
                SubmissionArrived first = core.events(SubmissionArrived.class).get(0);
                sink.emit(new AnswerSameAs(arrived.id(), first.id()));
                sink.emit(new ForgetAnswer(first.id()));
            }
        });
        String keyed = RawClient.post(REQUESTS, "{\"input\":\"text\"}", "Idempotency-Key: k");
        try (RawClient client = fixture.connect()) {
            assertTrue(client.send(keyed).read().body().endsWith("_1\",\"result\":\"text\"}"));
            assertTrue(client.send(keyed).read().body().endsWith("_2\",\"result\":\"text\"}"));
        }
        Eventually.check("bodies are removed", () -> fixture.bodies.submissionCount() == 0);
        assertEquals(fixture.bodies.bytes(), 0);
    }

    @Test
    public void testDigest_differsByContent() throws Exception {
        start(this::echo);
        try (RawClient client = fixture.connect()) {
            client.send(RawClient.post(REQUESTS, "{\"input\":1}")).read();
            client.send(RawClient.post(REQUESTS, "{\"input\":1}")).read();
            client.send(RawClient.post(REQUESTS, "{\"input\":2}")).read();
            client.send(RawClient.post(REQUESTS.replace("word-count", "spelling"), "{\"input\":1}"))
                    .read();
        }
        var arrived = core.events(SubmissionArrived.class);
        assertEquals(arrived.get(1).content(), arrived.get(0).content());
        assertNotEquals(arrived.get(2).content(), arrived.get(0).content());
        assertNotEquals(arrived.get(3).content(), arrived.get(0).content());
    }

    // Guards against tasks that start although their caller closed the connection while they were queued.
    @Test
    public void testHangUp_cancels() throws Exception {
        start(NEVER);
        RawClient client = fixture.connect();
        client.send(RawClient.post(REQUESTS, "{\"input\":1}"));
        Eventually.check(
                "the submission arrives",
                () -> core.events(SubmissionArrived.class).size() == 1);
        client.close();
        Eventually.check(
                "the submission is cancelled",
                () -> core.events(CancelRequested.class).size() == 1);
        assertEquals(
                core.events(CancelRequested.class).get(0),
                new CancelRequested(core.events(SubmissionArrived.class).get(0).id(), CancelCause.HANG_UP));
    }

    @Test
    public void testHangUp_afterAnswer() throws Exception {
        start(this::echo);
        try (RawClient client = fixture.connect()) {
            client.send(RawClient.post(REQUESTS, "{\"input\":1}")).read();
        }
        try (RawClient client = fixture.connect()) {
            client.send(RawClient.post(REQUESTS, "{\"input\":1}")).read();
        }
        assertTrue(core.events(CancelRequested.class).isEmpty());
    }

    @Test
    public void testCancel_byRequestId() throws Exception {
        start(NEVER);
        try (RawClient waiting = fixture.connect();
                RawClient client = fixture.connect()) {
            waiting.send(RawClient.post(REQUESTS, "{\"input\":1}", "Request-Id: up-1"));
            Eventually.check(
                    "the submission arrives",
                    () -> core.events(SubmissionArrived.class).size() == 1);
            String delete = RawClient.post("/v1/submissions/up-1", "").replaceFirst("POST", "DELETE");
            assertEquals(client.send(delete).read().status(), 202);
            Eventually.check(
                    "the submission is cancelled",
                    () -> core.events(CancelRequested.class).size() == 1);
            assertEquals(core.events(CancelRequested.class).get(0).cause(), CancelCause.CALLER);
            assertEquals(client.send(delete.replace("up-1", "up-2")).read().status(), 404);
        }
    }

    @Test
    public void testReady_followsPhase() throws Exception {
        start(this::echo);
        String get = "GET /ready HTTP/1.1\r\nHost: test\r\n\r\n";
        try (RawClient client = fixture.connect()) {
            assertEquals(client.send(get).read().status(), 200);
            fixture.readiness.enter(NodePhase.DRAINING);
            assertEquals(client.send(get).read().status(), 503);
            RawClient.Answer last =
                    client.send(RawClient.post(REQUESTS, "{\"input\":1}")).read();
            assertEquals(last.status(), 200);
            assertEquals(last.header("Connection"), "close");
            assertTrue(client.closedByServer());
        }
    }

    private void start(FakeCore.OnArrival onArrival) throws StepException {
        core = new FakeCore(onArrival);
        fixture = CallerFixture.start(core);
    }

    private void echo(SubmissionArrived arrived, ActionSink sink) {
        for (int i = 0; i < arrived.tasks().size(); i++) {
            TaskId task = new TaskId(arrived.id(), i);
            fixture.bodies.putResult(
                    task, fixture.bodies.task(task).map(TaskContent::input).orElseThrow());
        }
        sink.emit(new AnswerComplete(arrived.id()));
    }

    private static void assertProblem(RawClient.Answer answer, int status, String outcome, String code)
            throws IOException {
        assertEquals(answer.status(), status, answer.body());
        assertEquals(answer.header("Outcome"), outcome);
        assertEquals(answer.header("Content-Type"), "application/problem+json");
        assertTrue(answer.body().contains("\"outcome\":\"" + outcome + "\",\"code\":\"" + code + "\""), answer.body());
        assertEquals(
                answer.header("Content-Length"),
                Integer.toString(answer.body().getBytes(StandardCharsets.UTF_8).length));
    }
}
