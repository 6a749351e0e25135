package org.tarragonarch.standin.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.platform.PlatformClient;
import org.tarragonarch.standin.StandInControl;
import org.tarragonarch.standin.platform.StandInPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StandInEndpointTest {
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private StandInPlatform platform;
    private StandInEndpoint endpoint;
    private StandInControl control;

    @BeforeMethod
    public void start() {
        platform = StandInPlatform.start("127.0.0.1", 0);
        endpoint = StandInEndpoint.start(new EndpointOptions(
                EndpointId.of("hobart-w1"),
                FailureDomain.of("hobart"),
                "127.0.0.1",
                0,
                Optional.of(platform.address()),
                ImmutableSet.of(ServiceName.of("proof-board")),
                2,
                Duration.ofMillis(200)));
        control = StandInControl.of(endpoint.address());
    }

    @AfterMethod
    public void stop() {
        endpoint.close();
        platform.close();
    }

    @Test
    public void testTasks_eachKind() throws Exception {
        assertEquals(run("t1", "word-count", "\"the quick  fox\"").body(), "{\"words\":3}");
        assertEquals(run("t2", "spelling", "\"The quikc fox.\"").body(), "{\"unknown\":[\"quikc\"]}");
        assertEquals(
                run("t3", "availability", "{\"domain\":\"kivilahti.fi\"}").body(),
                "{\"domain\":\"kivilahti.fi\",\"available\":false}");
        assertEquals(run("t4", "sleep", "{\"ms\":1,\"tag\":\"x\"}").body(), "{\"ms\":1,\"tag\":\"x\"}");
        HttpResponse<String> wrong = run("t5", "word-count", "7");
        assertEquals(wrong.statusCode(), 422);
        assertEquals(wrong.headers().firstValue("Task-Id").orElseThrow(), "t5");
        assertEquals(starts().size(), 5);
    }

    @Test
    public void testTasks_refusedWhenSlotsAreFull() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            running.add(client.sendAsync(task("t" + i, "sleep", "{\"ms\":400}"), HttpResponse.BodyHandlers.ofString()));
        }
        awaitStarts(2);

        HttpResponse<String> refused = run("t9", "sleep", "{\"ms\":1}");

        assertEquals(refused.statusCode(), 503);
        assertEquals(refused.headers().firstValue("Task-Not-Started").orElseThrow(), "busy");
        for (CompletableFuture<HttpResponse<String>> answer : running) {
            assertEquals(answer.get(DEADLINE.toMillis(), TimeUnit.MILLISECONDS).statusCode(), 200);
        }
        assertEquals(starts().size(), 2);
    }

    @Test
    public void testFaults_startedWithoutValidAnswer() throws Exception {
        control.switchOnFault("cut-short?count=1");
        assertThrows(IOException.class, () -> run("t1", "sleep", "{\"ms\":1}"));
        control.switchOnFault("close-after-read?count=1");
        assertThrows(IOException.class, () -> run("t2", "sleep", "{\"ms\":1}"));
        control.switchOnFault("wrong-id?count=1");
        assertFalse(run("t3", "sleep", "{\"ms\":1}")
                .headers()
                .firstValue("Task-Id")
                .orElseThrow()
                .equals("t3"));
        control.switchOnFault("hang?count=1");
        assertThrows(HttpTimeoutException.class, () -> run("t4", "sleep", "{\"ms\":1}", Duration.ofMillis(200)));
        control.switchOnFault("answer-late?ms=400&count=1");
        assertThrows(HttpTimeoutException.class, () -> run("t5", "sleep", "{\"ms\":1}", Duration.ofMillis(200)));
        control.switchOnFault("fail-all?count=1");
        assertEquals(run("t6", "sleep", "{\"ms\":1}").statusCode(), 500);

        assertEquals(starts().size(), 6);
    }

    @Test
    public void testFaults_notStarted() throws Exception {
        control.switchOnFault("close-before-read?count=1");
        assertThrows(IOException.class, () -> run("t1", "sleep", "{\"ms\":1}"));
        control.switchOnFault("busy?count=1");
        assertEquals(run("t2", "sleep", "{\"ms\":1}").statusCode(), 503);
        control.switchOnFault("refuse-connections?ms=500");
        awaitRefused();

        assertTrue(awaitListening(), "the endpoint listens again");
        assertEquals(starts().size(), 0);
    }

    @Test
    public void testStop_endsTheTaskAndFreesItsSlot() throws Exception {
        CompletableFuture<HttpResponse<String>> answer =
                client.sendAsync(task("t1", "sleep", "{\"ms\":20000}"), HttpResponse.BodyHandlers.ofString());
        awaitStarts(1);

        HttpRequest stop = HttpRequest.newBuilder(uri("/tasks/t1")).DELETE().build();
        assertEquals(client.send(stop, HttpResponse.BodyHandlers.ofString()).statusCode(), 204);

        assertEquals(answer.get(DEADLINE.toMillis(), TimeUnit.MILLISECONDS).statusCode(), 500);
        assertEquals(client.send(stop, HttpResponse.BodyHandlers.ofString()).statusCode(), 404);
        assertEquals(starts().get(0).path("stops").asInt(), 1);
    }

    @Test
    public void testDrain_finishesRunningTasksAndRefusesNewOnes() throws Exception {
        // The platform removes an endpoint while a task runs on it. Guards against a lost answer of that task, a
        // refusal
        // that does not say that the task was not started, and an endpoint that remains on the list.
        CompletableFuture<HttpResponse<String>> answer =
                client.sendAsync(task("t1", "sleep", "{\"ms\":700}"), HttpResponse.BodyHandlers.ofString());
        awaitStarts(1);
        CompletableFuture<Void> drained = CompletableFuture.runAsync(this::drain);
        try (PlatformClient list = PlatformClient.create(platform.address(), DEADLINE)) {
            while (list.vmList().list().get(0).state() != VmState.LEAVING) {
                Thread.onSpinWait();
            }
            HttpResponse<String> refused = run("t2", "sleep", "{\"ms\":1}");
            assertEquals(refused.headers().firstValue("Task-Not-Started").orElseThrow(), "draining");
            assertEquals(refused.headers().firstValue("Endpoint-State").orElseThrow(), "draining");

            HttpResponse<String> last = answer.get(DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
            assertEquals(last.statusCode(), 200);
            assertEquals(last.headers().firstValue("Endpoint-State").orElseThrow(), "draining");
            drained.get(DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
            assertTrue(list.vmList().list().isEmpty());
        }
    }

    private void drain() {
        try {
            endpoint.drain();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void awaitRefused() throws Exception {
        long deadline = System.nanoTime() + DEADLINE.toNanos();
        while (true) {
            try {
                client.send(HttpRequest.newBuilder(uri("/health")).build(), HttpResponse.BodyHandlers.ofString());
            } catch (ConnectException e) {
                return;
            } catch (IOException e) {
                // A connection that was open before the port closed fails with another exception.
                assertTrue(System.nanoTime() < deadline);
            }
            assertTrue(System.nanoTime() < deadline, "connections are still accepted");
        }
    }

    private boolean awaitListening() throws Exception {
        long deadline = System.nanoTime() + DEADLINE.toNanos();
        while (System.nanoTime() < deadline) {
            try {
                control.get("/health");
                return true;
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        return false;
    }

    private void awaitStarts(int count) throws Exception {
        long deadline = System.nanoTime() + DEADLINE.toNanos();
        while (starts().size() < count) {
            assertTrue(System.nanoTime() < deadline, "too few task starts");
        }
    }

    private JsonNode starts() throws Exception {
        return control.get("/ledger").path("starts");
    }

    private HttpResponse<String> run(String id, String kind, String input) throws Exception {
        return run(id, kind, input, DEADLINE);
    }

    private HttpResponse<String> run(String id, String kind, String input, Duration timeout) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(task(id, kind, input), (name, value) -> true)
                .timeout(timeout)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest task(String id, String kind, String input) {
        return HttpRequest.newBuilder(uri("/tasks"))
                .header("Task-Id", id)
                .header("Task-Attempt", "1")
                .header("Task-Service", "proof-board")
                .header("Task-Kind", kind)
                .header("Task-Time-Allowed-Ms", "5000")
                .POST(HttpRequest.BodyPublishers.ofString(input))
                .build();
    }

    private URI uri(String path) {
        Address address = endpoint.address();
        return URI.create("http://" + address + path);
    }
}
