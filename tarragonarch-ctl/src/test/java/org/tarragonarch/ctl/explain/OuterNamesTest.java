package org.tarragonarch.ctl.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.Resources;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a rename in Java that changes words that 'explain' reads or prints. */
public final class OuterNamesTest {
    @Test
    public void testCause_wordsAndMeanings() {
        ImmutableSet<String> words = Arrays.stream(Cause.values())
                .map(cause -> cause.word() + ": " + cause.meaning())
                .collect(ImmutableSet.toImmutableSet());
        assertEquals(
                words,
                ImmutableSet.of(
                        "served: every task ended well",
                        "cancelled: its client cancelled it",
                        "unknown-queue: the configuration of the node that was asked had no such queue; "
                                + "compare its version and age",
                        "holder-lost: the holder that had the job was lost, and nobody can say what of it ran",
                        "bad-endpoint: one endpoint did not do the work that it was given",
                        "bad-work: its tasks failed wherever they ran",
                        "endpoints-lost: endpoints crashed or fell silent while they ran a task of it, which was not "
                                + "started again",
                        "order-unreadable: an endpoint could not read the order to start a task of it",
                        "no-room: no holder had room for it in time",
                        "drained: no holder had an endpoint that could take it, and a failure domain was drained",
                        "no-endpoints: no holder had an endpoint that could take it",
                        "no-holder: no holder of any shard was reachable",
                        "node-stopped: the node with its client's connection ended before the job did",
                        "out-of-time: it was not done when its client's time was over, and no bad run or "
                                + "lost node is logged",
                        "not-logged: the logs given do not show its answer; add those of the other nodes"));
    }

    /**
     * Returns the outcomes as logged and printed, each with the cause found if there are no other entries.
     *
     * <p>They are read from a resource, because a rename in the Java sources would change them here too.
     */
    @DataProvider
    public Object[][] outcomes() throws IOException {
        return Resources.readLines(Resources.getResource("outer-names/job-outcomes.txt"), StandardCharsets.UTF_8)
                .stream()
                .map(line -> line.split(" "))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "outcomes")
    public void testToJson_outcomeIsReadAndPrinted(String outcome, String cause) throws IOException {
        String line = "{\"time\":\"2026-05-04T12:00:06.411Z\",\"node\":\"n-1\",\"event\":\"job-answered\","
                + "\"job\":\"535f8b75492e838d\",\"outcome\":\"" + outcome + "\"}";
        LogFiles files = new LogFiles();
        files.read(new BufferedReader(new StringReader(line)));
        JsonNode json = Explanation.of("535f8b75492e838d", files).toJson();
        assertEquals(json.path("outcome").asText(), outcome);
        assertEquals(json.path("cause").asText(), cause);
    }

    @DataProvider
    public Object[] events() {
        return new Object[] {
            "job-answered",
            "job-cancelled",
            "cancel-answered",
            "queue-unknown",
            "job-declined",
            "job-moved",
            "job-moved-back",
            "job-holder-lost",
            "job-offered-again",
            "offers-sent-again",
            "offer-not-sent",
            "job-clients-left",
            "submission-dropped",
            "job-recovered",
            "job-resubmitted",
            "origin-lost",
            "jobs-not-open",
            "endpoint-speed-changed",
            "run-ended-badly",
            "crash-confirmed",
            "task-abandoned",
            "endpoint-restarted",
            "share-limited",
            "share-unlimited",
            "shard-claimed",
            "shard-resigned",
            "shard-fenced",
            "peer-joined",
            "peer-overdue",
            "peer-lost",
            "store-lost",
            "store-rows-unusable",
            "store-call-failed",
            "store-regained",
            "endpoints-from-peer",
            "configuration-in-force",
            "configuration-unreadable",
            "domain-drained",
            "domain-undrained",
            "drain-row-unreadable",
            "endpoint-row-unreadable",
            "node-row-unreadable",
            "starts-withheld",
            "runs-without-authority",
            "clock-stood-still",
            "node-started",
            "node-leaving",
            "node-stopped",
            "settings-read-again",
            "settings-unreadable",
            "log-lines-dropped"
        };
    }

    @Test(dataProvider = "events")
    public void testParse_everyEvent(String event) {
        String line = "{\"time\":\"2026-05-04T12:00:06.411Z\",\"node\":\"n-1\",\"event\":\"" + event + "\"}";
        assertTrue(LogEntry.parse(line).isPresent());
    }
}
