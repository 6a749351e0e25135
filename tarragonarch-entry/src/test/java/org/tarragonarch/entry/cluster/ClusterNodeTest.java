package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.testng.Assert.fail;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.adapter.standin.StandInEndpoint;
import org.tarragonarch.adapter.standin.StandInStore;
import org.tarragonarch.adapter.standin.StandInStoreDoor;
import org.tarragonarch.model.outcome.StepException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Jobs through real nodes on real sockets, with stand-ins for the store and the endpoints. */
public final class ClusterNodeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int PORTS_PER_NODE = 4;
    private static final String QUEUES = """
        {"Version":%d,"Routes":[{"Name":"q","Host":"127.0.0.1","Prefix":"/%s/","Service":"board",
         "Attempts":3,"Stretch":1.6,"SloMs":5000}]}
        """;
    private static final String JOB = """
        {"Spec":"s","BestEffort":true,"Steps":[{"Count":4,"Cpu":7000,"MemMb":64,"EstMs":60}]}
        """;

    private final HttpClient client = HttpClient.newHttpClient();
    private final List<ClusterNode> nodes = new ArrayList<>();
    private final List<StandInEndpoint> endpoints = new ArrayList<>();
    private ByteArrayOutputStream log;
    private StandInStore store;

    @BeforeMethod
    public void startPlatform() throws IOException {
        log = new ByteArrayOutputStream();
        store = new StandInStore();
        for (int i = 1; i <= 2; i++) {
            StandInEndpoint endpoint = new StandInEndpoint();
            endpoints.add(endpoint);
            store.register("i-" + i, endpoint.entry("board", "hobart"));
        }
    }

    @AfterMethod
    public void stopAll() {
        nodes.forEach(ClusterNode::abort);
        endpoints.forEach(StandInEndpoint::close);
        store.close();
        nodes.clear();
        endpoints.clear();
    }

    @Test
    public void testJob_completed() throws Exception {
        ClusterSettings node = startNode("n1");
        assertEquals(status(post(node, "a", 1)), 503, "no configuration yet");
        store.configure(QUEUES.formatted(3, "a"));
        awaitReady(node);
        HttpResponse<String> answer = post(node, "a", 2);
        assertEquals(answer.statusCode() + answer.body(), "200{\"State\":\"done\"}");
        assertEquals(starts(), 4);
        assertEquals(status(post(node, "unknown", 3)), 404);
    }

    /** Guards against an added or removed queue that takes effect only after a restart. */
    @Test
    public void testConfiguration_changes() throws Exception {
        store.configure(QUEUES.formatted(3, "a"));
        ClusterSettings node = startNode("n1");
        awaitReady(node);
        store.configure(QUEUES.formatted(9, "b"));
        awaitStatus(node, "b", 200);
        assertEquals(status(post(node, "a", 77)), 404);
    }

    /** Guards against a queue reported as unknown that was added while the store did not answer. */
    @Test
    public void testConfiguration_changesWhileStoreSilent() throws Exception {
        store.configure(QUEUES.formatted(3, "a"));
        ClusterSettings node = startNode("n1");
        awaitReady(node);
        awaitStatus(node, "b", 404);
        store.setUnresponsive(true);
        awaitStatus(node, "b", 503);
        assertEquals(status(post(node, "a", 2)), 200);
        store.configure(QUEUES.formatted(9, "b"));
        assertEquals(status(post(node, "b", 3)), 503);
        store.setUnresponsive(false);
        awaitStatus(node, "b", 200);
        awaitStatus(node, "a", 404);
    }

    /** Guards against clients that are refused for two seconds or more after the holder was killed. */
    @Test
    public void testHolderKilled_otherNodeServes() throws Exception {
        store.configure(QUEUES.formatted(3, "a"));
        ClusterSettings first = startNode("n1");
        awaitReady(first);
        ClusterSettings second = startNode("n2");
        awaitReady(second);
        awaitStatus(second, "a", 200);
        store.setUnavailable(true);
        nodes.remove(0).abort();
        awaitStatus(second, "a", 200);
    }

    /** Guards against a holder that the store turns away, and that goes on by an endpoint's earlier capacity. */
    @Test
    public void testEndpoints_capacityShrinksWhileStoreTurnsHolderAway() throws Exception {
        store.configure(QUEUES.formatted(3, "a"));
        try (StandInStoreDoor door = new StandInStoreDoor(store)) {
            ClusterSettings holder = startNode("n1", door.address());
            awaitReady(holder);
            ClusterSettings other = startNode("n2");
            awaitReady(other);
            awaitStatus(other, "a", 200);
            door.turnAway();
            for (int i = 0; i < endpoints.size(); i++) {
                String entry = endpoints.get(i).entry("board", "hobart");
                store.register("i-" + (i + 1), entry.replace("16000", "6000"));
            }
            awaitStatus(other, "a", 503);
            assertEquals(status(post(holder, "a", 77)), 503);
        }
    }

    /** Guards against a cancelled job that runs because its submission arrives at another node. */
    @Test
    public void testCancel_submissionArrivesAtOtherNode() throws Exception {
        store.configure(QUEUES.formatted(3, "a"));
        ClusterSettings first = startNode("n1");
        awaitReady(first);
        ClusterSettings second = startNode("n2");
        awaitReady(second);
        awaitStatus(second, "a", 200);
        assertEquals(cancel(first, 5), 410);
        int before = starts();
        HttpResponse<String> answer = post(second, "a", 5);
        assertEquals(answer.statusCode() + answer.body(), "200{\"State\":\"cancelled\"}");
        assertEquals(starts(), before);
    }

    /** Guards against cancellations that each wait for a node which was removed, until the timeout. */
    @Test
    public void testCancel_afterRemovalOfNode() throws Exception {
        store.configure(QUEUES.formatted(3, "a"));
        ClusterSettings first = startNode("n1");
        awaitReady(first);
        ClusterSettings second = startNode("n2");
        awaitReady(second);
        awaitStatus(first, "a", 200);
        nodes.remove(1).abort();
        long until = System.nanoTime() + TIMEOUT.toNanos();
        for (int job = 5; !log.toString(StandardCharsets.UTF_8).contains("\"asked\":0"); job++) {
            assertEquals(cancel(first, job), 410);
            assertTrue(System.nanoTime() < until, "the removed node is asked each time");
        }
    }

    @Test
    public void testSettings_configurationMillisTooShort() throws IOException {
        Path file = Files.createTempFile("settings", ".jsonc");
        Files.writeString(file, "{ \"configuration-millis\": 99 }");
        try {
            ClusterSettings.read(file);
            fail("99 ms leave no time for a waiting call");
        } catch (StepException e) {
            assertTrue(e.getMessage().contains("wrong settings"), e.getMessage());
        } finally {
            Files.delete(file);
        }
    }

    /** Guards against a node that starts with an invalid share, or an error message that does not name it. */
    @Test
    public void testSettings_wrongShare() throws IOException {
        Path file = Files.createTempFile("settings", ".jsonc");
        Files.writeString(file, "{ \"shares\": [ { \"priority\": 0, \"weight\": 0 } ] }");
        try {
            StepException e = expectThrows(StepException.class, () -> ClusterSettings.read(file));
            assertTrue(e.getMessage().contains("shares[0]: priority 0: weight 0.0 is not over 0"), e.getMessage());
        } finally {
            Files.delete(file);
        }
    }

    private ClusterSettings startNode(String name) throws IOException, StepException {
        return startNode(name, store.address());
    }

    private ClusterSettings startNode(String name, String storeAddress) throws IOException, StepException {
        Path file = Files.createTempFile(name, ".jsonc");
        List<Integer> ports = ArchiveWarmUp.freePorts(PORTS_PER_NODE);
        try {
            Files.writeString(
                    file, """
                        { "node": "%s", "failure-domain": "hobart", "failure-domains": { "hobart": "south" },
                          "ip": "127.0.0.1",
                          "peer-port": %d, "metrics-port": %d, "client-address": "127.0.0.1:%d",
                          "readiness-address": "127.0.0.1:%d", "store-address": "%s",
                          "processor-share": 1.0, "processor-speed": 1,
                          "lease-millis": 1000, "stop-millis": 50, "shutdown-seconds": 6 }
                        """.formatted(name, ports.get(0), ports.get(1), ports.get(2), ports.get(3), storeAddress));
            ClusterSettings settings = ClusterSettings.read(file);
            DecisionLog decisions = new DecisionLog(name, new PrintStream(log));
            decisions.start();
            ClusterNode node = new ClusterNode(settings, decisions);
            nodes.add(node);
            node.start();
            return settings;
        } finally {
            Files.delete(file);
        }
    }

    private HttpResponse<String> post(ClusterSettings node, String queue, int job) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(node, queue, job))
                .header("X-Deadline-Ms", "4000")
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(JOB))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private int cancel(ClusterSettings node, int job) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(node, "a", job))
                .DELETE()
                .timeout(TIMEOUT)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    private static URI uri(ClusterSettings node, String queue, int job) {
        return URI.create("http://" + node.clientAddress() + "/" + queue + "/" + String.format("%016x", job));
    }

    private static int status(HttpResponse<String> answer) {
        return answer.statusCode();
    }

    private int starts() {
        return endpoints.stream().mapToInt(StandInEndpoint::startCount).sum();
    }

    private void awaitReady(ClusterSettings node) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.readinessAddress() + "/readyz"))
                .build();
        long until = System.nanoTime() + TIMEOUT.toNanos();
        while (client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() != 200) {
            assertTrue(System.nanoTime() < until, "the node is not ready");
            Thread.sleep(10);
        }
    }

    /** Sends new jobs until one is answered with the status, like clients that retry after a refusal. */
    private void awaitStatus(ClusterSettings node, String queue, int expected) throws Exception {
        long until = System.nanoTime() + TIMEOUT.toNanos();
        int job = 1_000;
        while (status(post(node, queue, job++)) != expected) {
            assertTrue(System.nanoTime() < until, "no answer with status " + expected);
            Thread.sleep(10);
        }
    }
}
