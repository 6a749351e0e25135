package org.tarragonarch.standin.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public final class EndpointKilledTest {
    private static final int TASK_MILLIS = 6_000;
    private static final long PROMPT_ANSWER_MILLIS = 2_000;

    @Test
    public void testJob_endpointKilledInMidTask() throws Exception {
        // Guards against a second start elsewhere when an endpoint is killed while it runs two of a job's four tasks:
        // how far they got is unknown. The job must be answered as unknown at once, not after the other tasks or the
        // deadline.
        try (ProcessCluster cluster = ProcessCluster.start(1, 2, 2)) {
            CompletableFuture<CallerAnswer> job =
                    cluster.caller().submitJob(cluster.node(0), Caller.NON_IDEMPOTENT, "style-check", 4, TASK_MILLIS);
            cluster.awaitStartCount(4);
            List<JsonNode> startsOfKilled = new ArrayList<>();
            cluster.endpoint(0).control().get("/ledger").path("starts").forEach(startsOfKilled::add);

            cluster.endpoint(0).process().kill();
            CallerAnswer answer = job.get(PROMPT_ANSWER_MILLIS, TimeUnit.MILLISECONDS);

            assertEquals(answer.outcome(), "unknown", answer.toString());
            assertEquals(startsOfKilled.size(), 2);
            List<JsonNode> starts = cluster.starts();
            starts.addAll(startsOfKilled);
            assertEquals(ProcessCluster.startsByTag(starts).size(), 4);
            assertTrue(
                    ProcessCluster.startsByTag(starts).values().stream().allMatch(count -> count == 1),
                    starts.toString());

            CallerAnswer next = cluster.caller()
                    .submitRequest(cluster.node(0), Caller.IDEMPOTENT, "next", 10, null)
                    .get(TASK_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(next.isComplete(), next.toString());
        }
    }
}
