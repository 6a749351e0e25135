package org.tarragonarch.model.log;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests the words of events in the log. */
public final class OuterNamesTest {
    private static final ImmutableSet<String> WORDS = ImmutableSet.of(
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
            "log-lines-dropped");

    /** Guards against a renamed constant that changes what readers of the log search for. */
    @Test
    public void testWord_everyEvent() {
        assertEquals(
                Arrays.stream(NodeEvent.values()).map(NodeEvent::word).collect(ImmutableSet.toImmutableSet()), WORDS);
        assertEquals(NodeEvent.values().length, WORDS.size());
    }

    /** Guards against a word of the log that is not recognised when the log is read. */
    @Test
    public void testOfWord_everyWord() {
        for (String word : WORDS) {
            assertEquals(NodeEvent.ofWord(word).map(NodeEvent::word), Optional.of(word));
        }
    }
}
