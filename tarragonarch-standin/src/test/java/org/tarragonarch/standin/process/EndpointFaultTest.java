package org.tarragonarch.standin.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.standin.StandInControl;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class EndpointFaultTest {
    private static final long WAIT_MILLIS = 15_000;
    private static final int ENDPOINTS = 2;

    private ProcessCluster cluster;

    @BeforeClass
    public void start() throws Exception {
        cluster = ProcessCluster.start(1, ENDPOINTS, 8);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        if (cluster != null) {
            cluster.close();
        }
    }

    @AfterMethod
    public void clearFaults() throws Exception {
        for (int i = 0; i < ENDPOINTS; i++) {
            StandInControl control = cluster.endpoint(i).control();
            Await.until("the endpoint listens", ProcessCluster.DEADLINE, () -> {
                control.clearFaults();
                return true;
            });
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            // fault, outcome, starts
            {"cut-short?count=1", "unknown", 1},
            {"wrong-id?count=1", "unknown", 1},
            {"close-after-read?count=1", "unknown", 1},
            {"close-before-read?count=1", "unknown", 0},
            {"fail-all?count=1", "failed", 1},
            {"busy?count=1", "complete", 1},
        };
    }

    @Test(dataProvider = "faults")
    public void testNonIdempotent_oneFaultyAnswer(String fault, String outcome, int starts) throws Exception {
        // A word count, which charges the author, meets a worker that misbehaves once. What the worker's answer leaves
        // open must be answered as unknown and never be sent again; a worker that says it did not start the count
        // must not keep the author from getting it.
        onAll(fault);
        String tag = "once-" + fault;

        CallerAnswer answer = request(Caller.NON_IDEMPOTENT, tag);

        assertEquals(answer.outcome(), outcome, answer.toString());
        assertEquals(starts(tag), starts);
    }

    @Test
    public void testIdempotent_answerLost() throws Exception {
        // A worker breaks off in the middle of an availability check. The check harms nobody if it runs twice, so the
        // customer at the desk must get the answer from the other worker.
        cluster.endpoint(0).control().switchOnFault("close-after-read?count=1");
        int again = 0;
        for (int i = 0; i < 10; i++) {
            assertTrue(request(Caller.IDEMPOTENT, "check-" + i).isComplete());
            again += starts("check-" + i) - 1;
        }

        assertEquals(again, 1, "checks started a second time");
    }

    @Test
    public void testNonIdempotent_connectionsRefused() throws Exception {
        // Every worker restarts its listener for a moment. Nothing was sent to them, so the word count waits for them
        // and runs once.
        onAll("refuse-connections?ms=1500");
        // A connection that closes while the task is being written would leave open whether the task was read.
        for (int i = 0; i < ENDPOINTS; i++) {
            awaitRefused(cluster.endpoint(i).control());
        }

        CallerAnswer answer = request(Caller.NON_IDEMPOTENT, "refused");

        assertTrue(answer.isComplete(), answer.toString());
        assertEquals(starts("refused"), 1);
    }

    @Test
    public void testNonIdempotent_lateAnswer() throws Exception {
        // A worker answers long after the author's time is over. The author is told "unknown" when the time is over,
        // and the late answer must not reach any of those who come after on the same connections.
        onAll("answer-late?ms=1000&count=1");
        CompletableFuture<CallerAnswer> late = cluster.caller()
                .submitWithTimeAllowed(cluster.node(0), Caller.NON_IDEMPOTENT, "late", 10, Duration.ofMillis(300));

        CallerAnswer unknown = late.get(900, TimeUnit.MILLISECONDS);
        assertEquals(unknown.outcome(), "unknown", unknown.toString());
        clearFaults();
        long end = System.nanoTime() + Duration.ofMillis(1_200).toNanos();
        for (int i = 0; System.nanoTime() < end; i++) {
            CallerAnswer next = request(Caller.NON_IDEMPOTENT, "next-" + i);
            assertTrue(next.isComplete(), next.toString());
            assertEquals(next.body().path("result").path("tag").asText(), "next-" + i);
        }
        assertEquals(starts("late"), 1);
    }

    @Test
    public void testNonIdempotent_endpointsPaused() throws Exception {
        // Every worker freezes with its connections open. The author whose count was sent to one is told "unknown" when
        // the time is over. When the workers wake they read what was sent to them; the count may then start, once,
        // and its answer is nobody's.
        CallerAnswer unknown;
        for (int i = 0; i < ENDPOINTS; i++) {
            cluster.endpoint(i).process().pause();
        }
        try {
            unknown = cluster.caller()
                    .submitWithTimeAllowed(cluster.node(0), Caller.NON_IDEMPOTENT, "frozen", 10, Duration.ofMillis(400))
                    .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            for (int i = 0; i < ENDPOINTS; i++) {
                cluster.endpoint(i).process().resume();
            }
        }

        assertEquals(unknown.outcome(), "unknown", unknown.toString());
        for (int i = 0; i < 20; i++) {
            CallerAnswer next = request(Caller.NON_IDEMPOTENT, "after-" + i);
            assertTrue(next.isComplete(), next.toString());
            assertEquals(next.body().path("result").path("tag").asText(), "after-" + i);
        }
        assertTrue(starts("frozen") <= 1);
    }

    @Test
    public void testJob_oneTaskAnswerLost() throws Exception {
        // One task of a style check loses its answer. The member may not see the other parts as if they were the whole,
        // and none of the tasks may start a second time.
        cluster.endpoint(0).control().switchOnFault("cut-short?count=1");

        CallerAnswer answer = cluster.caller()
                .submitJob(cluster.node(0), Caller.NON_IDEMPOTENT, "parts", 12, 100)
                .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);

        assertEquals(answer.outcome(), "unknown", answer.toString());
        assertFalse(answer.body().has("results"), answer.toString());
        for (int i = 0; i < 12; i++) {
            assertTrue(starts("parts-" + i) <= 1);
        }
    }

    private void onAll(String fault) throws Exception {
        for (int i = 0; i < ENDPOINTS; i++) {
            cluster.endpoint(i).control().switchOnFault(fault);
        }
    }

    private static void awaitRefused(StandInControl control) throws InterruptedException {
        Await.until("connections are refused", ProcessCluster.DEADLINE, () -> {
            try {
                control.get("/health");
                return false;
            } catch (ConnectException e) {
                return true;
            }
        });
    }

    private CallerAnswer request(String kind, String tag) throws Exception {
        return cluster.caller()
                .submitRequest(cluster.node(0), kind, tag, 10, null)
                .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private int starts(String tag) {
        return ProcessCluster.startsByTag(cluster.starts()).getOrDefault(tag, 0);
    }
}
