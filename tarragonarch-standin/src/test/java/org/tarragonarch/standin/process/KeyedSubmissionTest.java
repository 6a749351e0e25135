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
        // A renewal is running when the node that took it dies. The desk sees a broken connection and pushes the
        // renewal again through another node. The customer must not be charged twice: the second node must not run it,
        // and it may not say "not run" either, since the first one may have.
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
        // Two long tasks fill every slot, so a renewal waits in the first node's queue with its key claimed. The node
        // freezes; the desk hears nothing and pushes the renewal again through the second node. Then the first node
        // wakes, unaware of the time that passed, and goes on with its queue. The renewal may start once at most.
        CompletableFuture<CallerAnswer> filling =
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
        CallerAnswer woken = first.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        filling.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        int starts = starts("renewal-frozen");
        assertTrue(starts <= 1, cluster.starts().toString());
        if (second.outcome().equals("not-run") || woken.outcome().equals("not-run")) {
            assertEquals(starts, 0, "said not to have run: " + second + woken);
        }
        assertEquals(second.outcome(), "unknown", second.toString());
        assertEquals(woken.isComplete(), starts == 1, woken.toString());
    }

    @Test
    public void testKey_nodeRestartedOnItsOldAddress() throws Exception {
        // The node that runs a renewal dies and is started again at once on its old address. The desk pushes the
        // renewal
        // again and meets the new run, which remembers nothing but finds the claim of the run before. It must neither
        // run the renewal nor say that it was not run, and other renewals go on.
        CompletableFuture<CallerAnswer> first = renewal(0, "renewal-restarted", 1_000);
        cluster.awaitTagsStarted("renewal-restarted");
        cluster.node(0).process().kill();
        assertFalse(answered(first), "the killed node cannot have answered");
        cluster.restartNode(0);

        CallerAnswer again = renewal(0, "renewal-restarted", 1_000).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(again.outcome(), "unknown", again.toString());
        Await.until(
                "other renewals go on",
                ProcessCluster.DEADLINE,
                () -> renewal(0, "other-restarted", 20)
                        .get(WAIT_MILLIS, TimeUnit.MILLISECONDS)
                        .isComplete());

        assertEquals(starts("renewal-restarted"), 1);
        assertEquals(starts("other-restarted"), 1);
    }

    @Test
    public void testKey_tableServiceSlowerThanItsTimeout() throws Exception {
        // The table service takes longer for each call than a node waits. The claim may have been written or not, and
        // the reads that would tell have no reply either, so the renewal is refused. Then it must not have run, and
        // once the table service is itself again, the renewal goes through.
        cluster.platform().switchOnFault("slow?part=tables&ms=1500");

        CallerAnswer refused = renewal(0, "renewal-slow", 20).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertEquals(refused.outcome(), "not-run", refused.toString());
        assertFalse(refused.retryAfter().isEmpty(), refused.toString());
        assertEquals(starts("renewal-slow"), 0);
        cluster.platform().clearFaults();
        Await.until(
                "the renewal goes through",
                ProcessCluster.DEADLINE,
                () -> renewal(0, "renewal-slow", 20)
                        .get(WAIT_MILLIS, TimeUnit.MILLISECONDS)
                        .isComplete());
        assertEquals(starts("renewal-slow"), 1);
    }

    @Test
    public void testKey_claimReplyLost() throws Exception {
        // The claim is written and the connection breaks before the reply. The key stands under the node's own token,
        // so the node may run the renewal, once; a second push must get the same answer and no second start.
        cluster.platform().switchOnFault("reply-lost?part=tables&count=1");

        CallerAnswer first = renewal(0, "renewal-lost", 50).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        CallerAnswer again = renewal(0, "renewal-lost", 50).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertTrue(first.isComplete(), first.toString());
        assertEquals(again.body().path("result"), first.body().path("result"));
        assertEquals(starts("renewal-lost"), 1);
    }

    @Test
    public void testKey_simultaneousSubmissionsWithLostReplies() throws Exception {
        // A desk's gateway pushes each of many renewals to two nodes at the same instant, while some replies of the
        // table service are lost. Each renewal may start once at most, and a node that says "not run" must be right:
        // the renewal of a key of which both nodes say so must not have started.
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
            assertTrue(!bothNotRun || starts == 0, "not run, says the node: " + one + other);
        }
    }

    @Test
    public void testKey_platformUnavailable() throws Exception {
        // The platform is out for a while. Authors' checks go on, since nothing of them needs it; a renewal, which the
        // platform must keep from running twice, is refused at once with a time to come back, and really does not run.
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
                "the renewal goes through",
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
        Await.until("the key is claimed", ProcessCluster.DEADLINE, () -> {
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
        Await.until("the connection breaks", ProcessCluster.DEADLINE, answer::isDone);
        return !answer.isCompletedExceptionally();
    }
}
