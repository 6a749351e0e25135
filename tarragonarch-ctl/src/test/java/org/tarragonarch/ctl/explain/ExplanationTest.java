package org.tarragonarch.ctl.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.testng.annotations.Test;

/** Tests for {@link Explanation} with log lines as nodes write them. */
public final class ExplanationTest {
    private static final String REFUSED = """
            {"time":"2026-05-04T12:00:06.409Z","node":"front-hobart-1","event":"job-declined","job":"535f8b75492e838d",\
            "shard":"hobart","origin":"front-launceston-2","wait-ms":143,"expected-run-ms":34,"in-time-within-ms":-223,\
            "places":25,"free-places":0,"waiting-jobs":11}
            {"time":"2026-05-04T12:00:06.061Z","node":"front-launceston-1","event":"job-declined",\
            "job":"535f8b75492e838d","shard":"launceston","origin":"front-launceston-2","wait-ms":172,\
            "expected-run-ms":34,"in-time-within-ms":114,"places":26,"free-places":0,"waiting-jobs":13}
            {"time":"2026-05-04T12:00:06.411Z","node":"front-launceston-2","event":"job-answered",\
            "job":"535f8b75492e838d","queue":"board","outcome":"REFUSED","tasks":5,"estimate-ms":17,"after-ms":350,\
            "holder":"front-hobart-1","deadline-ms":2000,"configuration":12}
            """;
    private static final String REFUSED_IN_SHARE = """
            {"time":"2026-05-04T12:00:07.250Z","node":"front-hobart-1","event":"job-declined",\
            "job":"3f0a9d2c55e1b784","origin":"front-hobart-2","wait-ms":812,"expected-run-ms":903,\
            "in-time-within-ms":1506,"deadline-within-ms":2444,"places":114,"free-places":0,"waiting-jobs":21,\
            "share-service":"board","share-priority":2,"share-allotted-millicores":448000,\
            "share-used-millicores":448000,"share-waiting-millicores":1344000,"capacity-millicores":3584000}
            {"time":"2026-05-04T12:00:07.252Z","node":"front-hobart-2","event":"job-answered",\
            "job":"3f0a9d2c55e1b784","queue":"long","outcome":"REFUSED","tasks":4,"estimate-ms":900,"after-ms":2,\
            "holder":"front-hobart-1","deadline-ms":2446,"configuration":12}
            """;
    private static final String BAD_ENDPOINT = """
            {"time":"2026-05-04T12:00:11.816Z","node":"front-devonport-1","event":"run-ended-badly",\
            "task":"d8b174c21d8c731b.0.0.2","run":1,"endpoint":"i-1523651cc8","shard":"devonport","how":"STOPPED"}
            {"time":"2026-05-04T12:00:13.331Z","node":"front-devonport-2","event":"job-answered",\
            "job":"d8b174c21d8c731b","queue":"board","outcome":"GIVEN_UP","tasks":3,"estimate-ms":80,"after-ms":2067,\
            "holder":"front-devonport-1","deadline-ms":2077,"configuration":12}
            """;
    private static final String LOST_RUNS = """
            {"time":"2026-05-04T12:00:27.992Z","node":"front-hobart-1","event":"run-ended-badly",\
            "task":"bf61c57f187017c4.0.0.7","run":1,"endpoint":"i-634a3845e8","shard":"hobart","how":"CRASHED"}
            {"time":"2026-05-04T12:00:28.682Z","node":"front-hobart-1","event":"run-ended-badly",\
            "task":"bf61c57f187017c4.0.0.7","run":2,"endpoint":"i-82fa43702f","shard":"hobart","how":"LAPSED"}
            """;
    private static final String ABANDONED = LOST_RUNS + """
            {"time":"2026-05-04T12:00:29.011Z","node":"front-hobart-1","event":"crash-confirmed",\
            "task":"bf61c57f187017c4.0.0.7","run":2,"endpoint":"i-82fa43702f","shard":"hobart"}
            {"time":"2026-05-04T12:00:29.011Z","node":"front-hobart-1","event":"task-abandoned",\
            "task":"bf61c57f187017c4.0.0.7","ground":"ENDPOINTS_CRASHED","attempts":2,"failures":0,"crashes":2,\
            "lost-runs":2}
            {"time":"2026-05-04T12:00:29.012Z","node":"front-hobart-2","event":"job-answered","job":"bf61c57f187017c4",\
            "queue":"board","outcome":"GIVEN_UP","tasks":10,"estimate-ms":20,"after-ms":1723,"holder":"front-hobart-1",\
            "deadline-ms":1824,"configuration":12}
            """;
    private static final String FAILED = LOST_RUNS + """
            {"time":"2026-05-04T12:00:28.711Z","node":"front-hobart-1","event":"run-ended-badly",\
            "task":"bf61c57f187017c4.0.0.7","run":3,"endpoint":"i-0a44d1f2b3","shard":"hobart","how":"FAILED"}
            {"time":"2026-05-04T12:00:28.740Z","node":"front-hobart-1","event":"run-ended-badly",\
            "task":"bf61c57f187017c4.0.0.7","run":4,"endpoint":"i-0a44d1f2b3","shard":"hobart","how":"FAILED"}
            {"time":"2026-05-04T12:00:28.741Z","node":"front-hobart-2","event":"job-answered","job":"bf61c57f187017c4",\
            "queue":"board","outcome":"FAILED","tasks":10,"estimate-ms":20,"after-ms":1452,"holder":"front-hobart-1",\
            "deadline-ms":1824,"configuration":12}
            """;
    private static final String HOLDER_LOST = """
            {"time":"2026-05-04T12:00:34.132Z","node":"front-hobart-2","event":"peer-lost",\
            "peer":"front-devonport-2","reason":"silent"}
            {"time":"2026-05-04T12:00:34.234Z","node":"front-hobart-2","event":"peer-lost",\
            "peer":"front-launceston-1","reason":"silent"}
            {"time":"2026-05-04T12:00:34.235Z","node":"front-hobart-2","event":"job-answered","job":"c675074cee10f9c9",\
            "queue":"board","outcome":"GIVEN_UP","tasks":2,"estimate-ms":184,"after-ms":1688,\
            "holder":"front-launceston-1","deadline-ms":2669,"configuration":12}
            """;

    private static final String DRAINED = """
            {"time":"2026-05-04T12:00:03.101Z","node":"front-hobart-1","event":"domain-drained","domain":"hobart",\
            "store-version":812,"source":"store"}
            {"time":"2026-05-04T12:00:03.190Z","node":"front-hobart-1","event":"job-declined",\
            "job":"77cc0f1d5e2ab904","origin":"front-hobart-2","wait-ms":0,"expected-run-ms":61,\
            "in-time-within-ms":152,"deadline-within-ms":1510,"places":0,"free-places":0,"waiting-jobs":0}
            {"time":"2026-05-04T12:00:03.193Z","node":"front-hobart-2","event":"job-answered","job":"77cc0f1d5e2ab904",\
            "queue":"board","outcome":"REFUSED","tasks":4,"estimate-ms":64,"after-ms":3,"holder":"front-hobart-1",\
            "deadline-ms":1513,"configuration":12}
            """;
    private static final String UNDRAINED = """
            {"time":"2026-05-04T12:00:03.150Z","node":"front-hobart-1","event":"domain-undrained","domain":"hobart",\
            "store-version":815,"source":"store"}
            """;

    private static final String UNKNOWN_QUEUE = """
            {"time":"2026-05-04T12:00:14.318Z","node":"front-espoo-a-3","event":"queue-unknown",\
            "result":"UNKNOWN","job":"15789369e5db4e3d","host":"a.example",\
            "path":"/q/15789369e5db4e3d","configuration":9,\
            "configuration-age-ms":10297,"source":"store"}
            """;

    private static Explanation explain(String job, String... logs) throws IOException {
        LogFiles files = new LogFiles();
        for (String log : logs) {
            files.read(new BufferedReader(new StringReader(log)));
        }
        return Explanation.of(job, files);
    }

    /** Guards against a refusal in a drained failure domain that is explained as a loss of all endpoints. */
    @Test
    public void testLines_refusedInDrainedDomain() throws IOException {
        Explanation explanation = explain("77cc0f1d5e2ab904", DRAINED, HOLDER_LOST);
        assertEquals(
                explanation.lines().get(1),
                "cause: drained, no holder had an endpoint that could take it, and a failure domain was drained");
        assertEquals(
                explanation.lines().get(2),
                "  2026-05-04T12:00:03.101Z front-hobart-1 learned that failure domain hobart is drained, from store at"
                        + " version 812");
        Explanation later = explain("77cc0f1d5e2ab904", DRAINED, UNDRAINED);
        assertFalse(later.lines().get(1).contains("drained"), later.lines().toString());
    }

    /** Guards against a 503 in a burst that is not explained: no holder had free capacity. */
    @Test
    public void testLines_refusedUnderLoad() throws IOException {
        Explanation explanation = explain("535f8b75492e838d", REFUSED, BAD_ENDPOINT, HOLDER_LOST);
        assertEquals(explanation.lines().get(0), "job 535f8b75492e838d: REFUSED");
        assertEquals(explanation.lines().get(1), "cause: no-room, no holder had room for it in time");
        assertEquals(
                explanation.lines().get(2),
                "  2026-05-04T12:00:06.061Z front-launceston-1 declined it: 0 of 26 slots"
                        + " free, 13 job(s) waiting, expected wait 172 ms and run 34 ms, 114 ms left");
        assertEquals(explanation.lines().size(), 5);
    }

    /** Guards against a 503 because of a full share whose explanation does not name the share. */
    @Test
    public void testLines_refusedInShare() throws IOException {
        Explanation explanation = explain("3f0a9d2c55e1b784", REFUSED_IN_SHARE);
        assertEquals(
                explanation.lines().get(2),
                "decided by: share of priority 2 of board: 448000 of 448000 millicores allotted in use,"
                        + " 1344000 waiting");
        assertEquals(explanation.toJson().path("share").path("priority").asInt(), 2);
    }

    /** Guards against a 504 whose cause, an endpoint that answers calls but does not run tasks, is not named. */
    @Test
    public void testLines_givenUpAfterFailingEndpoint() throws IOException {
        Explanation explanation = explain("d8b174c21d8c731b", HOLDER_LOST, BAD_ENDPOINT);
        assertEquals(explanation.lines().get(1), "cause: bad-endpoint, " + Cause.BAD_ENDPOINT.meaning());
        assertEquals(explanation.lines().get(2), "endpoint: i-1523651cc8");
        assertEquals(explanation.toJson().path("endpoints").path(0).asText(), "i-1523651cc8");
    }

    /** Guards against a 504 after crashes that is explained as bad work of the job. */
    @Test
    public void testLines_givenUpAfterCrashes() throws IOException {
        Explanation explanation = explain("bf61c57f187017c4", ABANDONED);
        assertEquals(explanation.lines().get(1), "cause: endpoints-lost, " + Cause.ENDPOINTS_LOST.meaning());
        assertEquals(
                explanation.lines().get(explanation.lines().size() - 2),
                "  2026-05-04T12:00:29.011Z front-hobart-1 started task bf61c57f187017c4.0.0.7 no more"
                        + " on the ground ENDPOINTS_CRASHED: 0 of 2 allowed failures, 2 crashes, 2 lost runs");
    }

    /** Guards against an endpoint that fails all it runs and is not named because runs were lost elsewhere. */
    @Test
    public void testLines_failedBesideLostRuns() throws IOException {
        Explanation explanation = explain("bf61c57f187017c4", FAILED);
        assertEquals(explanation.lines().get(1), "cause: bad-endpoint, " + Cause.BAD_ENDPOINT.meaning());
    }

    /** Guards against a 504 before the deadline that the answering node's log does not explain. */
    @Test
    public void testLines_givenUpAfterHolderLoss() throws IOException {
        Explanation explanation = explain("c675074cee10f9c9", HOLDER_LOST);
        assertEquals(explanation.lines().get(1), "cause: holder-lost, " + Cause.HOLDER_LOST.meaning());
        assertEquals(
                explanation.lines().get(2),
                "  2026-05-04T12:00:34.234Z front-hobart-2 lost front-launceston-1, which sent no report in time");
    }

    /** Guards against logs that cannot be read: the last line is truncated, and the runtime logged a warning. */
    @Test
    public void testLines_truncatedAndUnrelatedLines() throws IOException {
        String cut = BAD_ENDPOINT + "WARNING: something of the runtime\n{\"time\":\"2026-05-04T12:00:13.4";
        Explanation explanation = explain("d8b174c21d8c731b", cut);
        assertEquals(explanation.lines().get(0), "job d8b174c21d8c731b: GIVEN_UP (2 other line(s) skipped)");
        assertEquals(explanation.toJson().path("lines-passed-over").asInt(), 2);
    }

    /** Guards against a job without an explanation because its origin stopped before it logged the answer. */
    @Test
    public void testLines_originStopped() throws IOException {
        String log = REFUSED.substring(0, REFUSED.lastIndexOf("{\"time"))
                + "{\"time\":\"2026-05-04T12:00:08Z\",\"node\":\"front-launceston-2\",\"event\":\"node-started\"}";
        Explanation explanation = explain("535f8b75492e838d", log);
        assertEquals(explanation.lines().get(1), "cause: node-stopped, " + Cause.NODE_STOPPED.meaning());
    }

    /** Guards against a 404 from an outdated configuration that the refusing node's log does not show. */
    @Test
    public void testLines_queueUnknownToOutdatedConfiguration() throws IOException {
        Explanation explanation = explain("15789369e5db4e3d", UNKNOWN_QUEUE);
        assertEquals(explanation.lines().get(1), "cause: unknown-queue, " + Cause.UNKNOWN_QUEUE.meaning());
        assertEquals(
                explanation.lines().get(2),
                "  2026-05-04T12:00:14.318Z front-espoo-a-3 had no queue for a.example/q/15789369e5db4e3d"
                        + " and answered that there is none; configuration 9 from store, confirmed 10297 ms before");
    }

    @Test
    public void testLines_unknownJob() throws IOException {
        Explanation explanation = explain("0000000000000000", REFUSED);
        assertFalse(explanation.found());
        assertEquals(explanation.lines().get(0), "no line is about job 0000000000000000");
    }
}
