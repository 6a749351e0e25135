package org.tarragonarch.entry.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.entry.Eventually;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.body.SubmissionContent;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class EndpointClientTest {
    private static final NodeId NODE = NodeId.of("hobart-1");
    private static final SubmissionId SUBMISSION = new SubmissionId(NODE, Incarnation.of(7), 1);
    private static final TaskId TASK = new TaskId(SUBMISSION, 0);
    private static final EndpointId ENDPOINT = EndpointId.of("hobart-w1");
    private static final Duration LONG = Duration.ofSeconds(20);

    private final List<Event> events = new CopyOnWriteArrayList<>();
    private BodyStore bodies;
    private NodeMetrics metrics;
    private EndpointClient client;

    @BeforeMethod
    public void setUp() {
        events.clear();
        bodies = BodyStore.create(1 << 20);
        metrics = NodeMetrics.create(NODE);
        client = EndpointClient.create(bodies, events::add, metrics, new EndpointLimits(64, 16, 1_000));
        ImmutableList<byte[]> inputs = ImmutableList.of("\"one two\"".getBytes(StandardCharsets.UTF_8));
        bodies.put(SUBMISSION, new SubmissionContent(ServiceName.of("proof-board"), KindName.of("word-count"), inputs));
    }

    @AfterMethod
    public void tearDown() {
        client.close();
        metrics.close();
    }

    @DataProvider
    public Object[][] answers() {
        String id = "\r\nTask-Id: " + TASK;
        return new Object[][] {
            {"200 OK" + id, "{\"words\":2}", SendResult.SUCCEEDED, false},
            {"200 OK" + id + "\r\nEndpoint-State: draining", "2", SendResult.SUCCEEDED, true},
            {"200 OK" + id + "\r\nConnection: close", "2", SendResult.SUCCEEDED, true},
            {"200 OK" + id, "{\"words\":", SendResult.LOST, false},
            {"200 OK" + id, "", SendResult.LOST, false},
            {"200 OK" + id, "x".repeat(1_001), SendResult.LOST, false},
            {"200 OK", "{\"words\":2}", SendResult.LOST, false},
            {"200 OK\r\nTask-Id: hobart-1_7_1_1", "{\"words\":2}", SendResult.LOST, false},
            {"200 OK\r\nTask-Id: hobart-1_6_1_0", "{\"words\":2}", SendResult.LOST, false},
            {"204 No Content" + id, "", SendResult.LOST, false},
            {"307 Temporary Redirect" + id + "\r\nLocation: /elsewhere", "", SendResult.LOST, false},
            {"422 Unprocessable" + id, "{\"detail\":\"not a text\"}", SendResult.TASK_FAILED, false},
            {"500 Broke" + id, "{\"detail\":\"out of memory\"}", SendResult.TASK_FAILED, false},
            {"500 Broke" + id, "<html>", SendResult.LOST, false},
            {"500 Broke", "{\"detail\":\"a balancer's own\"}", SendResult.LOST, false},
            {"503 Busy" + id + "\r\nTask-Not-Started: busy", "", SendResult.REFUSED_BUSY, false},
            {"503 Leaving" + id + "\r\nTask-Not-Started: draining", "", SendResult.REFUSED_DRAINING, true},
            {"503 Busy" + id, "", SendResult.LOST, false},
            {"503 Busy\r\nTask-Not-Started: busy", "", SendResult.LOST, false},
            {"503 Busy\r\nTask-Not-Started: busy\r\nTask-Id: hobart-1_7_2_0", "", SendResult.LOST, false},
        };
    }

    @Test(dataProvider = "answers")
    public void testSend_answered(String head, String body, SendResult result, boolean leaving) throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.answer(head, body);
            connection.awaitClose();
        })) {
            TaskEnded ended = send(endpoint.address(), LONG);

            assertEquals(ended.result(), result, ended.detail());
            assertEquals(ended.endpointLeaving(), leaving);
            assertEquals(bodies.results(SUBMISSION).isPresent(), result == SendResult.SUCCEEDED);
            assertEquals(endpoint.heads().size(), 1);
        }
    }

    @Test
    public void testSend_headersOfTheProtocol() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.answer("200 OK\r\nTask-Id: " + TASK, "2");
        })) {
            send(endpoint.address(), Duration.ofMillis(12_345));

            String head = endpoint.heads().get(0);
            assertTrue(head.startsWith("POST /tasks HTTP/1.1\r\n"), head);
            assertTrue(head.contains("Task-Id: " + TASK + "\r\n"), head);
            assertTrue(head.contains("Task-Attempt: 1\r\n"), head);
            assertTrue(head.contains("Task-Service: proof-board\r\n"), head);
            assertTrue(head.contains("Task-Kind: word-count\r\n"), head);
            assertTrue(head.contains("Task-Time-Allowed-Ms: 12345\r\n"), head);
            assertTrue(head.contains("Content-Length: 9\r\n"), head);
        }
    }

    @Test
    public void testSend_refusedConnection() throws IOException {
        assertEquals(send(ScriptedEndpoint.closedAddress(), LONG).result(), SendResult.CONNECT_FAILED);
    }

    // An endpoint dies with the request unread in its socket buffer, and the node sees only a reset. Treating a reset
    // as "not started" would start a task twice whose request the endpoint had read.
    @Test
    public void testSend_closedBeforeRead() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {})) {
            assertEquals(send(endpoint.address(), LONG).result(), SendResult.LOST);
        }
    }

    @Test
    public void testSend_closedAfterRead() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> connection.read())) {
            assertEquals(send(endpoint.address(), LONG).result(), SendResult.LOST);
            assertEquals(endpoint.heads().size(), 1);
        }
    }

    @Test
    public void testSend_answerCutShort() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTask-Id: " + TASK + "\r\nContent-Length: 11\r\n\r\n{\"wor");
        })) {
            assertEquals(send(endpoint.address(), LONG).result(), SendResult.LOST);
            assertTrue(bodies.results(SUBMISSION).isEmpty());
        }
    }

    @Test
    public void testSend_answerWithoutLength() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTask-Id: " + TASK + "\r\n\r\n{\"words\":2}");
        })) {
            assertEquals(send(endpoint.address(), LONG).result(), SendResult.LOST);
        }
    }

    @Test
    public void testSend_lateAnswer() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.awaitClose();
        })) {
            assertEquals(send(endpoint.address(), Duration.ofMillis(200)).result(), SendResult.LOST);
        }
    }

    // An endpoint answers a task, keeps the connection open and restarts. The next task is sent on the pooled
    // connection and gets a reset after its headers were sent. A retry inside the HTTP client, unknown to the core,
    // could start the task twice: before the restart and after it.
    @Test
    public void testSend_reusedConnectionClosed() throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.answer("200 OK\r\nTask-Id: " + TASK, "2");
            connection.read();
        })) {
            assertEquals(send(endpoint.address(), LONG).result(), SendResult.SUCCEEDED);
            events.clear();
            assertEquals(send(endpoint.address(), LONG).result(), SendResult.LOST);
            assertEquals(endpoint.heads().size(), 2);
        }
    }

    @Test
    public void testSend_bodyGone() throws IOException {
        bodies.remove(SUBMISSION);
        assertEquals(send(ScriptedEndpoint.closedAddress(), LONG).result(), SendResult.CONNECT_FAILED);
    }

    @Test
    public void testStop_withMessage() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            boolean task = connection.read().isPresent();
            read.countDown();
            if (!task) {
                connection.answer("204 No Content", "");
            }
            connection.awaitClose();
        })) {
            client.send(new SendTask(TASK, 1, ENDPOINT, endpoint.address(), LONG));
            read.await();
            client.stop(new StopTask(TASK, 1, ENDPOINT, endpoint.address(), true));

            assertEquals(onlyEnd().result(), SendResult.LOST);
            assertTrue(
                    endpoint.heads().get(1).startsWith("DELETE /tasks/" + TASK + " "),
                    endpoint.heads().get(1));
            assertTrue(metrics.scrape().contains("wasted_messages_total{kind=\"stop\",node=\"hobart-1\"} 1.0"));
        }
    }

    @Test
    public void testStop_withoutMessage() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            read.countDown();
            await(stopped);
            connection.answer("200 OK\r\nTask-Id: " + TASK, "2");
        })) {
            client.send(new SendTask(TASK, 1, ENDPOINT, endpoint.address(), LONG));
            read.await();
            client.stop(new StopTask(TASK, 1, ENDPOINT, endpoint.address(), false));
            stopped.countDown();

            assertEquals(onlyEnd().result(), SendResult.SUCCEEDED);
            assertEquals(endpoint.heads().size(), 1);
        }
    }

    @DataProvider
    public Object[][] healths() {
        return new Object[][] {
            {"200 OK", "{\"state\":\"live\"}", true, false},
            {"200 OK", "{\"state\": \"draining\"}", false, true},
            {"500 Broke", "{\"state\":\"live\"}", false, false},
            {"200 OK", "", false, false},
        };
    }

    @Test(dataProvider = "healths")
    public void testProbe(String head, String body, boolean healthy, boolean leaving) throws IOException {
        try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(connection -> {
            connection.read();
            connection.answer(head, body);
        })) {
            client.probe(new ProbeEndpoint(ENDPOINT, endpoint.address()));
            Eventually.check("the probe ended", () -> !events.isEmpty());
            assertEquals(events, List.of(new ProbeEnded(ENDPOINT, healthy, leaving)));
        }
    }

    private TaskEnded send(Address address, Duration timeAllowed) {
        client.send(new SendTask(TASK, 1, ENDPOINT, address, timeAllowed));
        return onlyEnd();
    }

    private TaskEnded onlyEnd() {
        Eventually.check("the send ended", () -> !events.isEmpty() && client.openExchanges() == 0);
        assertEquals(events.size(), 1, events.toString());
        return (TaskEnded) events.get(0);
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
