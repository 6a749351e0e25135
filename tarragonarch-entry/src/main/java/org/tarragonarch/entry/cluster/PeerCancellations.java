package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/**
 * Cancellations that clients of this node have asked for and that the store and other nodes have not all confirmed.
 *
 * <p>A client is answered once the store and every peer have recorded the cancellation, so that it survives the loss of
 * this node, and of all nodes.
 */
final class PeerCancellations {
    /** Peers answer within a few milliseconds; one that misses this time is slow, paused or down. */
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    private final CancelRequests requests;
    private final Timers timers;
    private final DecisionLog log;
    private final Map<JobId, Cancellation> cancellations = new HashMap<>();
    private boolean answersAtOnce;

    PeerCancellations(CancelRequests requests, Timers timers, DecisionLog log) {
        this.requests = requests;
        this.timers = timers;
        this.log = log;
    }

    /**
     * Asks every peer to cancel a job that this node has cancelled. A call for a job about which the peers are being
     * asked is answered with the call before it.
     *
     * @param here whether this node knew the job
     * @param answer receives whether any node knew the job
     */
    void ask(JobId job, boolean here, Consumer<Boolean> answer) {
        Cancellation pending = cancellations.get(job);
        if (pending != null) {
            pending.known |= here;
            pending.answers.add(answer);
            return;
        }
        ImmutableSet<NodeId> asked = requests.askAllToCancel(job);
        Cancellation cancellation = new Cancellation(job, here, asked, timers.nowMillis(), answer);
        cancellations.put(job, cancellation);
        requests.store(job, () -> recordStored(cancellation));
        if (answersAtOnce) {
            end(cancellation);
        } else {
            timers.schedule(ANSWER_TIMEOUT_MILLIS, () -> timedOut(cancellation));
        }
    }

    /** Records that a peer has cancelled a job. */
    void recordAnswer(NodeId peer, JobId job, boolean known) {
        Cancellation cancellation = cancellations.get(job);
        if (cancellation != null) {
            cancellation.known |= known;
            cancellation.unanswered.remove(peer);
            endIfConfirmed(cancellation);
        }
    }

    /** Returns whether no client waits for an answer. */
    boolean isEmpty() {
        return cancellations.isEmpty();
    }

    /** Answers new calls at once from now on, because this node is about to stop; the peers are still asked. */
    void answerNewAtOnce() {
        answersAtOnce = true;
    }

    /** Answers all clients, and from now on each at once, because this node stops. */
    void answerAll() {
        answerNewAtOnce();
        ImmutableList.copyOf(cancellations.values()).forEach(this::end);
    }

    /** Ends the wait for a peer that cannot be reached. */
    void recordUnreachable(NodeId peer) {
        for (Cancellation cancellation : ImmutableList.copyOf(cancellations.values())) {
            if (cancellation.unanswered.remove(peer)) {
                endIfConfirmed(cancellation);
            }
        }
    }

    /** Answers the client. The peers that have not confirmed the cancellation are asked once more. */
    private void timedOut(Cancellation cancellation) {
        if (cancellations.get(cancellation.job) == cancellation) {
            ImmutableSet.copyOf(cancellation.unanswered)
                    .forEach(peer -> requests.askAgainToCancel(peer, cancellation.job));
            end(cancellation);
        }
    }

    private void recordStored(Cancellation cancellation) {
        cancellation.isStored = true;
        endIfConfirmed(cancellation);
    }

    private void endIfConfirmed(Cancellation cancellation) {
        if (cancellation.isStored && cancellation.unanswered.isEmpty()) {
            end(cancellation);
        }
    }

    private void end(Cancellation cancellation) {
        if (cancellations.remove(cancellation.job, cancellation)) {
            answer(cancellation);
        }
    }

    private void answer(Cancellation cancellation) {
        log.write(
                NodeEvent.CANCEL_ANSWERED,
                "job",
                cancellation.job,
                "known",
                cancellation.known,
                "asked",
                cancellation.asked,
                "unanswered",
                cancellation.unanswered,
                "stored",
                cancellation.isStored,
                "after-ms",
                timers.nowMillis() - cancellation.startedAtMillis);
        cancellation.answers.forEach(answer -> answer.accept(cancellation.known));
    }

    /** A job that is being cancelled, with the peers that have not answered. */
    private static final class Cancellation {
        private final JobId job;
        private final int asked;
        private final Set<NodeId> unanswered;
        private final long startedAtMillis;
        private final List<Consumer<Boolean>> answers = new ArrayList<>();
        private boolean known;
        private boolean isStored;

        Cancellation(
                JobId job, boolean known, ImmutableSet<NodeId> asked, long startedAtMillis, Consumer<Boolean> answer) {
            this.job = job;
            this.known = known;
            this.asked = asked.size();
            this.unanswered = new HashSet<>(asked);
            this.startedAtMillis = startedAtMillis;
            answers.add(answer);
        }
    }
}
