package org.tarragonarch.standin.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public final class GracefulShutdownTest {
    private static final Duration EXIT = Duration.ofSeconds(20);
    private static final long WAIT_MILLIS = 15_000;
    private static final int REQUESTS = 150;
    private static final long GAP_MILLIS = 20;
    private static final int TERMINATE_AT = 50;
    private static final int SIGTERM_EXIT = 143;

    @Test
    public void testNode_terminatedUnderLoad() throws Exception {
        // Guards against requests lost when a node is stopped under load. The load balancer sends nothing more to a
        // node that is not ready; every request must get its result and start once.
        try (ProcessCluster cluster = ProcessCluster.start(2, 2, 8)) {
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                if (i == TERMINATE_AT) {
                    cluster.node(0).process().terminate();
                }
                NodeProcess chosen = cluster.node(i % 2 == 0 && ready(cluster, 0) ? 0 : 1);
                answers.add(cluster.caller().submitRequest(chosen, Caller.NON_IDEMPOTENT, "upload-" + i, 100, null));
                Thread.sleep(GAP_MILLIS);
            }

            assertAllComplete(answers);
            assertEquals(cluster.node(0).process().awaitExit(EXIT), 0);
            assertEquals(ProcessCluster.startsByTag(cluster.starts()).size(), REQUESTS);
            assertEquals(cluster.starts().size(), REQUESTS);
        }
    }

    @Test
    public void testEndpoint_terminatedUnderLoadWithStaleVmList() throws Exception {
        // Guards against tasks sent to an endpoint that is leaving while the platform's VM list is not updated, so that
        // only the endpoint's own answers show it. Its running tasks must complete, and no task may start on it more
        // than two seconds later.
        try (ProcessCluster cluster = ProcessCluster.start(2, 2, 8)) {
            cluster.platform().switchOnFault("vms-frozen");
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            JsonNode lastLedger = null;
            long terminatedMillis = 0;
            for (int i = 0; i < REQUESTS; i++) {
                if (i == TERMINATE_AT) {
                    terminatedMillis = System.currentTimeMillis();
                    cluster.endpoint(0).process().terminate();
                }
                answers.add(cluster.caller()
                        .submitRequest(cluster.node(i % 2), Caller.NON_IDEMPOTENT, "upload-" + i, 100, null));
                lastLedger = ledger(cluster.endpoint(0), lastLedger);
                Thread.sleep(GAP_MILLIS);
            }

            assertAllComplete(answers);
            assertEquals(cluster.endpoint(0).process().awaitExit(EXIT), SIGTERM_EXIT);
            for (JsonNode start : lastLedger.path("starts")) {
                assertTrue(start.path("started-ms").asLong() <= terminatedMillis + 2_000, start.toString());
            }
            List<JsonNode> starts = cluster.starts();
            lastLedger.path("starts").forEach(starts::add);
            assertEquals(starts.size(), REQUESTS);
            assertEquals(ProcessCluster.startsByTag(starts).size(), REQUESTS);
        }
    }

    private static void assertAllComplete(List<CompletableFuture<CallerAnswer>> answers) throws Exception {
        for (int i = 0; i < answers.size(); i++) {
            CallerAnswer answer = answers.get(i).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(answer.isComplete(), "request " + i + ": " + answer);
            assertEquals(answer.body().path("result").path("tag").asText(), "upload-" + i);
        }
    }

    private static boolean ready(ProcessCluster cluster, int node) {
        try {
            return cluster.caller().isReady(cluster.node(node));
        } catch (Exception e) {
            return false;
        }
    }

    private static JsonNode ledger(EndpointProcess endpoint, JsonNode previous) {
        try {
            return endpoint.control().get("/ledger");
        } catch (Exception e) {
            return previous;
        }
    }
}
