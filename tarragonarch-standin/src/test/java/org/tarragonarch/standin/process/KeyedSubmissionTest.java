package org.tarragonarch.standin.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public final class KeyedSubmissionTest {
    private static final long WAIT_MILLIS = 15_000;

    private static final int NODES = 2;

    private ProcessCluster cluster;

    @BeforeClass
    public void start() throws Exception {
        cluster = ProcessCluster.start(NODES, 1, 2);
    }

    @AfterMethod
    public void clearFaultsAndRestartNodes() throws Exception {
        cluster.platform().clearFaults();
        for (int i = 0; i < NODES; i++) {
            if (!cluster.node(i).process().isAlive()) {
                cluster.restartNode(i);
            }
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        if (cluster != null) {
            cluster.close();
        }
    }

    @Test
    public void testKey_nodeKilledAndResubmittedElsewhere() throws Exception {
        // Guards against a second run when the node that runs a keyed request is killed and the client submits the
        // request again to another node. That node must not run it, nor answer "not run", since the first node may have
        // run it.
        CompletableFuture<CallerAnswer> first = renewal(0, "renewal-killed", 3_000);
        cluster.awaitTagsStarted("renewal-killed");
        cluster.node(0).process().kill();
        assertFalse(answered(first), "the killed node cannot have answered");

        CallerAnswer second = renewal(1, "renewal-killed", 3_000).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertEquals(second.outcome(), "unknown", second.toString());
        assertEquals(starts("renewal-killed"), 1);
    }

    @Test
    public void testKey_nodePausedWithQueuedSubmission() throws Exception {
        // Guards against a second run when a node is paused while a request waits in its queue with the key claimed
        // (two long tasks fill every slot). The client submits the request again to the second node, and then the first
        // node resumes and continues with its queue. The request may start once at most.
        CompletableFuture<CallerAnswer> slotFillers =
                cluster.caller().submitJob(cluster.node(0), Caller.NON_IDEMPOTENT, "long", 2, 4_000);
        cluster.awaitTagsStarted("long-0", "long-1");
        CompletableFuture<CallerAnswer> first = renewal(0, "renewal-frozen", 50);
        awaitClaim("renewal-frozen");
        cluster.node(0).process().pause();
        CallerAnswer second;
        try {
            second = renewal(1, "renewal-frozen", 50).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            cluster.node(0).process().resume();
        }
        CallerAnswer resumed = first.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        slotFillers.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        int starts = starts("renewal-frozen");
        assertTrue(starts <= 1, cluster.starts().toString());
        if (second.outcome().equals("not-run") || resumed.outcome().equals("not-run")) {
            assertEquals(starts, 0, "answered as not run: " + second + resumed);
        }
        assertEquals(second.outcome(), "unknown", second.toString());
        assertEquals(resumed.isComplete(), starts == 1, resumed.toString());
    }

    @Test
    public void testKey_nodeRestartedOnItsOldAddress() throws Exception {
        // Guards against a second run after the node is killed and restarted on the same address. The new incarnation
        // has no memory of the request but finds the claim of the earlier one: it must neither run the request nor
        // answer "not run", and it must serve other keys.
        CompletableFuture<CallerAnswer> first = renewal(0, "renewal-restarted", 1_000);
        cluster.awaitTagsStarted("renewal-restarted");
        cluster.node(0).process().kill();
        assertFalse(answered(first), "the killed node cannot have answered");
        cluster.restartNode(0);

        CallerAnswer again = renewal(0, "renewal-restarted", 1_000).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(again.outcome(), "unknown", again.toString());
        Await.until(
                "another renewal to complete",
                ProcessCluster.DEADLINE,
                () -> renewal(0, "other-restarted", 20)
                        .get(WAIT_MILLIS, TimeUnit.MILLISECONDS)
                        .isComplete());

        assertEquals(starts("renewal-restarted"), 1);
        assertEquals(starts("other-restarted"), 1);
    }

    @Test
    public void testKey_tableServiceSlowerThanItsTimeout() throws Exception {
        // Guards against a run without a confirmed claim. Each call to the table service exceeds the node's timeout, so
        // the node can neither write the claim nor read whether it was written, and refuses the request. Once the table
        // service recovers, the same key is served.
        cluster.platform().switchOnFault("slow?part=tables&ms=1500");

        CallerAnswer refused = renewal(0, "renewal-slow", 20).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertEquals(refused.outcome(), "not-run", refused.toString());
        assertFalse(refused.retryAfter().isEmpty(), refused.toString());
        assertEquals(starts("renewal-slow"), 0);
        cluster.platform().clearFaults();
        Await.until(
                "the renewal to complete",
                ProcessCluster.DEADLINE,
                () -> renewal(0, "renewal-slow", 20)
                        .get(WAIT_MILLIS, TimeUnit.MILLISECONDS)
                        .isComplete());
        assertEquals(starts("renewal-slow"), 1);
    }

    @Test
    public void testKey_claimReplyLost() throws Exception {
        // Guards against a refusal or a second run when a claim is written but the reply is lost. The stored claim has
        // the node's own token, so the node runs the request once; a repeated submission gets the same answer.
        cluster.platform().switchOnFault("reply-lost?part=tables&count=1");

        CallerAnswer first = renewal(0, "renewal-lost", 50).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        CallerAnswer again = renewal(0, "renewal-lost", 50).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertTrue(first.isComplete(), first.toString());
        assertEquals(again.body().path("result"), first.body().path("result"));
        assertEquals(starts("renewal-lost"), 1);
    }

    @Test
    public void testKey_simultaneousSubmissionsWithLostReplies() throws Exception {
        // Guards against two runs of one key that is submitted to two nodes at the same time while some replies of the
        // table service are lost. If both nodes answer "not run", the request must not have started.
        cluster.platform().switchOnFault("reply-lost?part=tables&count=4");
        List<List<CompletableFuture<CallerAnswer>>> pairs = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            pairs.add(List.of(renewal(0, "pair-" + i, 20), renewal(1, "pair-" + i, 20)));
        }

        for (int i = 0; i < pairs.size(); i++) {
            CallerAnswer one = pairs.get(i).get(0).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            CallerAnswer other = pairs.get(i).get(1).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            int starts = starts("pair-" + i);
            assertTrue(starts <= 1, "pair-" + i + " started " + starts + " times");
            boolean complete = one.isComplete() || other.isComplete();
            assertTrue(!complete || starts == 1, "complete without a start: " + one + other);
            boolean bothNotRun =
                    one.outcome().equals("not-run") && other.outcome().equals("not-run");
            assertTrue(!bothNotRun || starts == 0, "answered as not run by both nodes, but started: " + one + other);
        }
    }

    @Test
    public void testKey_platformUnavailable() throws Exception {
        // Guards against requests that fail needlessly, or run without a claim, while the platform is unavailable.
        // Requests that need no claim are served; one that needs a claim is refused at once with Retry-After and must
        // not run.
        cluster.platform().switchOnFault("out");

        CallerAnswer unkeyed = cluster.caller()
                .submitRequest(cluster.node(0), Caller.NON_IDEMPOTENT, "unkeyed", 20, null)
                .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        CallerAnswer idempotent = cluster.caller()
                .submitRequest(cluster.node(0), Caller.IDEMPOTENT, "check", 20, "key-check")
                .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        CallerAnswer refused = renewal(0, "renewal-out", 20).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertTrue(unkeyed.isComplete(), unkeyed.toString());
        assertTrue(idempotent.isComplete(), idempotent.toString());
        assertEquals(refused.outcome(), "not-run", refused.toString());
        assertFalse(refused.retryAfter().isEmpty(), refused.toString());
        assertEquals(starts("renewal-out"), 0);

        cluster.platform().clearFaults();
        Await.until(
                "the renewal to complete",
                ProcessCluster.DEADLINE,
                () -> renewal(0, "renewal-out", 20)
                        .get(WAIT_MILLIS, TimeUnit.MILLISECONDS)
                        .isComplete());
        assertEquals(starts("renewal-out"), 1);
    }

    private CompletableFuture<CallerAnswer> renewal(int node, String tag, int millis) {
        return cluster.caller().submitRequest(cluster.node(node), Caller.NON_IDEMPOTENT, tag, millis, "key-" + tag);
    }

    private void awaitClaim(String tag) throws InterruptedException {
        Await.until("the key to be claimed", ProcessCluster.DEADLINE, () -> {
            for (JsonNode row : cluster.platform().get("/tables/claims/rows").path("rows")) {
                if (row.path("key").asText().endsWith("/key-" + tag)) {
                    return true;
                }
            }
            return false;
        });
    }

    private int starts(String tag) {
        Map<String, Integer> counts = ProcessCluster.startsByTag(cluster.starts());
        return counts.getOrDefault(tag, 0);
    }

    private static boolean answered(CompletableFuture<CallerAnswer> answer) throws InterruptedException {
        Await.until("the connection to break", ProcessCluster.DEADLINE, answer::isDone);
        return !answer.isCompletedExceptionally();
    }
}
