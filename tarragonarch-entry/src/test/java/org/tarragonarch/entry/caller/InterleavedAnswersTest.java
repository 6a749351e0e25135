package org.tarragonarch.entry.caller;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.entry.Eventually;
import org.tarragonarch.entry.body.TaskContent;
import org.tarragonarch.model.id.TaskId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against an answer that is sent to the wrong request or mixed with another, when requests are pipelined on one
 * connection and the core answers them late and out of order.
 */
public final class InterleavedAnswersTest {
    private static final int CONNECTIONS = 8;
    private static final int REQUESTS_EACH = 1_000;
    private static final int MAX_PIPELINED = 20;
    private static final long SEED = 20_261_202;

    private final BlockingQueue<SubmissionArrived> arrivals = new LinkedBlockingQueue<>();
    private CallerFixture fixture;

    @AfterMethod
    public void tearDown() {
        fixture.close();
    }

    @Test
    public void testAnswers_interleaved() throws Exception {
        fixture = CallerFixture.start(new FakeCore((arrived, sink) -> arrivals.add(arrived)));
        ExecutorService threads = Executors.newFixedThreadPool(CONNECTIONS + 1);
        threads.execute(this::answerOutOfOrder);
        try {
            List<Future<Integer>> clients = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                clients.add(threads.submit(client(i)));
            }
            int answered = 0;
            for (Future<Integer> client : clients) {
                answered += client.get(60, TimeUnit.SECONDS);
            }
            assertEquals(answered, CONNECTIONS * REQUESTS_EACH);
            Eventually.check("bodies are removed", () -> fixture.bodies.submissionCount() == 0);
        } finally {
            threads.shutdownNow();
        }
    }

    private Callable<Integer> client(int connection) {
        return () -> {
            Random random = new Random(SEED + connection);
            int answered = 0;
            try (RawClient client = fixture.connect()) {
                while (answered < REQUESTS_EACH) {
                    int batch = Math.min(1 + random.nextInt(MAX_PIPELINED), REQUESTS_EACH - answered);
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < batch; i++) {
                        requests.append(request(connection, answered + i));
                    }
                    client.send(requests.toString());
                    for (int i = 0; i < batch; i++) {
                        check(client.read(), connection, answered + i);
                    }
                    answered += batch;
                }
            }
            return answered;
        };
    }

    private static String request(int connection, int number) {
        String input = input(connection, number);
        return RawClient.post(
                "/v1/services/registry-gw/jobs/availability",
                "{\"tasks\":[{\"input\":" + input + "},{\"input\":[" + input + "]}]}",
                "Request-Id: c" + connection + "-" + number);
    }

    private static void check(RawClient.Answer answer, int connection, int number) {
        String input = input(connection, number);
        assertEquals(answer.status(), 200, answer.body());
        assertEquals(answer.header("Request-Id"), "c" + connection + "-" + number);
        String results = answer.body().substring(answer.body().indexOf("\"results\""));
        assertEquals(results, "\"results\":[" + input + ",[" + input + "]]}");
    }

    private static String input(int connection, int number) {
        return "\"" + "n".repeat(number % 50) + connection + "-" + number + ".example\"";
    }

    // Answers waiting submissions in random order until interrupted.
    private void answerOutOfOrder() {
        Random order = new Random(SEED);
        List<SubmissionArrived> waiting = new ArrayList<>();
        try {
            while (true) {
                waiting.add(arrivals.take());
                arrivals.drainTo(waiting);
                Collections.shuffle(waiting, order);
                waiting.forEach(this::answer);
                waiting.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(SubmissionArrived arrived) {
        for (int i = arrived.tasks().size() - 1; i >= 0; i--) {
            TaskId task = new TaskId(arrived.id(), i);
            fixture.bodies.putResult(
                    task, fixture.bodies.task(task).map(TaskContent::input).orElseThrow());
        }
        fixture.perform(new AnswerComplete(arrived.id()));
    }
}
