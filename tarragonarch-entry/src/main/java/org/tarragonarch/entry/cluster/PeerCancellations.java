package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/** Pending cancellations of jobs that this node does not have and asks its peers to cancel. */
final class PeerCancellations {
    /** Peers answer within a few milliseconds; one that misses this time is slow, paused or down. */
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    private final Timers timers;
    private final DecisionLog log;
    private final Map<JobId, Cancellation> cancellations = new HashMap<>();

    PeerCancellations(Timers timers, DecisionLog log) {
        this.timers = timers;
        this.log = log;
    }

    /**
     * Waits for the peers' answers.
     *
     * @param asked the peers that were asked
     * @param known receives whether a peer knew the job
     */
    void start(JobId job, ImmutableSet<NodeId> asked, Consumer<Boolean> known) {
        Cancellation cancellation = new Cancellation(job, asked, timers.nowMillis(), known);
        if (asked.isEmpty()) {
            answer(cancellation, false);
            return;
        }
        cancellations.put(job, cancellation);
        timers.schedule(ANSWER_TIMEOUT_MILLIS, () -> end(cancellation, false));
    }

    void recordAnswer(NodeId peer, JobId job, boolean known) {
        Cancellation cancellation = cancellations.get(job);
        if (cancellation != null) {
            cancellation.unanswered.remove(peer);
            if (known || cancellation.unanswered.isEmpty()) {
                end(cancellation, known);
            }
        }
    }

    private void end(Cancellation cancellation, boolean known) {
        if (cancellations.remove(cancellation.job, cancellation)) {
            answer(cancellation, known);
        }
    }

    private void answer(Cancellation cancellation, boolean known) {
        log.write(
                NodeEvent.CANCEL_ANSWERED,
                "job",
                cancellation.job,
                "known",
                known,
                "asked",
                cancellation.asked,
                "unanswered",
                cancellation.unanswered,
                "after-ms",
                timers.nowMillis() - cancellation.startedAtMillis);
        cancellation.known.accept(known);
    }

    /** A job that peers were asked to cancel, with the peers that have not answered. */
    private static final class Cancellation {
        private final JobId job;
        private final int asked;
        private final Set<NodeId> unanswered;
        private final long startedAtMillis;
        private final Consumer<Boolean> known;

        Cancellation(JobId job, ImmutableSet<NodeId> asked, long startedAtMillis, Consumer<Boolean> known) {
            this.job = job;
            this.asked = asked.size();
            this.unanswered = new HashSet<>(asked);
            this.startedAtMillis = startedAtMillis;
            this.known = known;
        }
    }
}
