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
            Await.until("the endpoint to accept connections", ProcessCluster.DEADLINE, () -> {
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
        // Guards against a task that is not idempotent and starts twice. After an unusable answer the outcome is
        // unknown and the task is not sent again; after an answer that the task did not start, it is sent again.
        injectIntoAll(fault);
        String tag = "once-" + fault;

        CallerAnswer answer = request(Caller.NON_IDEMPOTENT, tag);

        assertEquals(answer.outcome(), outcome, answer.toString());
        assertEquals(starts(tag), starts);
    }

    @Test
    public void testIdempotent_answerLost() throws Exception {
        // Guards against an idempotent request that is not retried after an endpoint closed the connection without an
        // answer.
        cluster.endpoint(0).control().switchOnFault("close-after-read?count=1");
        int restarts = 0;
        for (int i = 0; i < 10; i++) {
            assertTrue(request(Caller.IDEMPOTENT, "check-" + i).isComplete());
            restarts += starts("check-" + i) - 1;
        }

        assertEquals(restarts, 1, "checks started a second time");
    }

    @Test
    public void testNonIdempotent_connectionsRefused() throws Exception {
        // Guards against an outcome of unknown while every endpoint refuses connections for a short time. Nothing was
        // sent, so the task waits and runs once.
        injectIntoAll("refuse-connections?ms=1500");
        // If a connection closed while the task is being written, it would be unknown whether the task was read.
        for (int i = 0; i < ENDPOINTS; i++) {
            awaitRefused(cluster.endpoint(i).control());
        }

        CallerAnswer answer = request(Caller.NON_IDEMPOTENT, "refused");

        assertTrue(answer.isComplete(), answer.toString());
        assertEquals(starts("refused"), 1);
    }

    @Test
    public void testNonIdempotent_lateAnswer() throws Exception {
        // Guards against a late answer that is taken for the answer to a later request on the same connection. The
        // endpoint answers after the time allowed has passed; the first request is then already answered as unknown.
        injectIntoAll("answer-late?ms=1000&count=1");
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
        // Guards against a second start, and an answer to the wrong request, after endpoints were paused with their
        // connections open. The request is answered as unknown when its time is over; a resumed endpoint still reads
        // the task and may start it once.
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
        // Guards against a partial result when the answer of one task of a job is lost, and against a second start of
        // any of its tasks.
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

    private void injectIntoAll(String fault) throws Exception {
        for (int i = 0; i < ENDPOINTS; i++) {
            cluster.endpoint(i).control().switchOnFault(fault);
        }
    }

    private static void awaitRefused(StandInControl control) throws InterruptedException {
        Await.until("connections to be refused", ProcessCluster.DEADLINE, () -> {
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
