package org.tarragonarch.entry.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/** Pending cancellations of jobs that this node does not have and asks its peers to cancel. */
final class PeerCancellations {
    /** Peers answer within a few milliseconds; one that misses this time is slow, paused or down. */
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    private final Timers timers;
    private final Map<JobId, Cancellation> cancellations = new HashMap<>();

    PeerCancellations(Timers timers) {
        this.timers = timers;
    }

    /**
     * Waits for the peers' answers.
     *
     * @param asked the number of peers that were asked
     * @param known receives whether a peer knew the job
     */
    void start(JobId job, int asked, Consumer<Boolean> known) {
        if (asked == 0) {
            known.accept(false);
            return;
        }
        Cancellation cancellation = new Cancellation(asked, known);
        cancellations.put(job, cancellation);
        timers.schedule(ANSWER_TIMEOUT_MILLIS, () -> end(job, cancellation, false));
    }

    void recordAnswer(JobId job, boolean known) {
        Cancellation cancellation = cancellations.get(job);
        if (cancellation != null) {
            cancellation.unanswered--;
            if (known || cancellation.unanswered == 0) {
                end(job, cancellation, known);
            }
        }
    }

    private void end(JobId job, Cancellation cancellation, boolean known) {
        if (cancellations.remove(job, cancellation)) {
            cancellation.known.accept(known);
        }
    }

    /** A job that peers were asked to cancel, with the number of peers that have not answered. */
    private static final class Cancellation {
        private final Consumer<Boolean> known;
        private int unanswered;

        Cancellation(int unanswered, Consumer<Boolean> known) {
            this.unanswered = unanswered;
            this.known = known;
        }
    }
}
