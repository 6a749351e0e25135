package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When a client that cancels a job is answered. */
public final class PeerCancellationsTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final NodeId FIRST = NodeId.of("first");
    private static final NodeId SECOND = NodeId.of("second");

    /** Longer than a node waits for the answers of its peers, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 400;

    private ManualTimers timers;
    private PeerCancellations cancellations;
    private ImmutableSet<NodeId> peers;
    private List<String> calls;
    private boolean isStoreSlow;
    private Runnable pendingWrite;

    /** Creates a node with two peers. */
    @BeforeMethod
    public void createNode() {
        timers = new ManualTimers();
        DecisionLog log = new DecisionLog("own", new PrintStream(OutputStream.nullOutputStream()));
        cancellations = new PeerCancellations(new RecordingRequests(), timers, log);
        peers = ImmutableSet.of(FIRST, SECOND);
        calls = new ArrayList<>();
        isStoreSlow = false;
    }

    private void cancel(boolean here) {
        cancellations.ask(JOB, here, known -> calls.add("answered " + known));
    }

    /** Guards against a client that is answered before all nodes know of the cancellation, and this node is lost. */
    @Test
    public void testAsk_answeredWhenAllHaveConfirmed() {
        cancel(true);
        cancellations.recordAnswer(FIRST, JOB, false);
        assertEquals(calls, ImmutableList.of("asked all"));
        cancellations.recordAnswer(SECOND, JOB, false);
        assertEquals(calls, ImmutableList.of("asked all", "answered true"));
    }

    /** Guards against a client that is answered before the store knows of the cancellation, and all nodes are lost. */
    @Test
    public void testAsk_answeredWhenStored() {
        isStoreSlow = true;
        cancel(false);
        cancellations.recordAnswer(FIRST, JOB, false);
        cancellations.recordAnswer(SECOND, JOB, false);
        assertEquals(calls, ImmutableList.of("asked all"));
        pendingWrite.run();
        assertEquals(calls, ImmutableList.of("asked all", "answered false"));
    }

    /** Guards against a client that waits for a store that does not answer. */
    @Test
    public void testAsk_storeDoesNotAnswer() {
        isStoreSlow = true;
        peers = ImmutableSet.of();
        cancel(true);
        timers.advance(TIMEOUT_MILLIS);
        assertEquals(calls, ImmutableList.of("asked all", "answered true"));
        pendingWrite.run();
        assertEquals(calls.size(), 2);
    }

    /** Guards against a job that another node has cancelled and that its client is told does not exist. */
    @Test
    public void testAsk_knownAtPeer() {
        cancel(false);
        cancellations.recordAnswer(FIRST, JOB, true);
        cancellations.recordAnswer(SECOND, JOB, false);
        assertEquals(calls, ImmutableList.of("asked all", "answered true"));
    }

    /** Guards against a client that waits for a node that is down, and against a cancellation that this node misses. */
    @Test
    public void testAsk_peerDoesNotAnswer() {
        cancel(false);
        cancellations.recordAnswer(FIRST, JOB, false);
        timers.advance(TIMEOUT_MILLIS);
        assertEquals(calls, ImmutableList.of("asked all", "asked second again", "answered false"));
        cancellations.recordAnswer(SECOND, JOB, true);
        assertEquals(calls.size(), 3);
    }

    /** Guards against a client that waits for a node after that is known to be unreachable. */
    @Test
    public void testRecordUnreachable() {
        cancel(false);
        cancellations.recordAnswer(FIRST, JOB, false);
        cancellations.recordUnreachable(SECOND);
        assertEquals(calls, ImmutableList.of("asked all", "answered false"));
    }

    /** Guards against the first of two calls for one job that is never answered, because the second replaces it. */
    @Test
    public void testAsk_twiceAtOnce() {
        cancel(false);
        cancel(true);
        cancellations.recordAnswer(FIRST, JOB, false);
        cancellations.recordAnswer(SECOND, JOB, false);
        assertEquals(calls, ImmutableList.of("asked all", "answered true", "answered true"));
        timers.advance(TIMEOUT_MILLIS);
        assertEquals(calls.size(), 3);
    }

    /** Guards against connections of a stopping node that close without an answer to cancellations. */
    @Test
    public void testAnswerAll() {
        cancel(false);
        cancellations.answerAll();
        assertTrue(cancellations.isEmpty());
        cancel(true);
        assertEquals(calls, ImmutableList.of("asked all", "answered false", "asked all", "answered true"));
    }

    @Test
    public void testAsk_noPeers() {
        peers = ImmutableSet.of();
        cancel(false);
        assertEquals(calls, ImmutableList.of("asked all", "answered false"));
    }

    /** Records requests as text. */
    private final class RecordingRequests implements CancelRequests {
        @Override
        public ImmutableSet<NodeId> askAllToCancel(JobId job) {
            calls.add("asked all");
            return peers;
        }

        @Override
        public void store(JobId job, Runnable stored) {
            if (isStoreSlow) {
                pendingWrite = stored;
            } else {
                stored.run();
            }
        }

        @Override
        public void askAgainToCancel(NodeId peer, JobId job) {
            calls.add("asked " + peer + " again");
        }
    }
}
