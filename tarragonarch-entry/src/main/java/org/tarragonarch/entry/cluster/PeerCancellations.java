package org.tarragonarch.entry.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/** Cancellations of jobs that this node does not have, while its peers are asked for them. */
final class PeerCancellations {
    /** Peers answer in a few milliseconds; one that has not by then is slow, frozen or gone. */
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    private final Timers timers;
    private final Map<JobId, Cancellation> cancellations = new HashMap<>();

    PeerCancellations(Timers timers) {
        this.timers = timers;
    }

    void start(JobId job, int asked, Consumer<Boolean> known) {
        if (asked == 0) {
            known.accept(false);
            return;
        }
        Cancellation round = new Cancellation(asked, known);
        cancellations.put(job, round);
        timers.after(ANSWER_TIMEOUT_MILLIS, () -> end(job, round, false));
    }

    void recordAnswer(JobId job, boolean known) {
        Cancellation round = cancellations.get(job);
        if (round != null) {
            round.missing--;
            if (known || round.missing == 0) {
                end(job, round, known);
            }
        }
    }

    private void end(JobId job, Cancellation round, boolean known) {
        if (cancellations.remove(job, round)) {
            round.known.accept(known);
        }
    }

    /** One job that peers were asked for. */
    private static final class Cancellation {
        private final Consumer<Boolean> known;
        private int missing;

        Cancellation(int missing, Consumer<Boolean> known) {
            this.missing = missing;
            this.known = known;
        }
    }
}
