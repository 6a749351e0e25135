package org.tarragonarch.entry.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/** Cancellations of jobs that this node does not have, while its peers are asked for them. */
final class CancelRounds {
    /** Peers answer in a few milliseconds; one that has not by then is slow, frozen or gone. */
    private static final long LISTEN_MILLIS = 400;

    private final Timers timers;
    private final Map<JobId, Round> rounds = new HashMap<>();

    CancelRounds(Timers timers) {
        this.timers = timers;
    }

    void begin(JobId job, int asked, Consumer<Boolean> known) {
        if (asked == 0) {
            known.accept(false);
            return;
        }
        Round round = new Round(asked, known);
        rounds.put(job, round);
        timers.schedule(LISTEN_MILLIS, () -> end(job, round, false));
    }

    void answered(JobId job, boolean known) {
        Round round = rounds.get(job);
        if (round != null) {
            round.missing--;
            if (known || round.missing == 0) {
                end(job, round, known);
            }
        }
    }

    private void end(JobId job, Round round, boolean known) {
        if (rounds.remove(job, round)) {
            round.known.accept(known);
        }
    }

    /** One job that peers were asked for. */
    private static final class Round {
        private final Consumer<Boolean> known;
        private int missing;

        Round(int missing, Consumer<Boolean> known) {
            this.missing = missing;
            this.known = known;
        }
    }
}
