package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.HoldAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.TaskEnd;

/**
 * Polls one endpoint for what runs and what has ended there.
 *
 * <p>While anything of this holder runs, one call is always under way: it renews the lease, and is answered at the next
 * end. An idle endpoint is polled only to acknowledge its last ends.
 */
final class RunListPoller {
    /** The pause after the second call in a row without an answer; after the first the next one leaves at once. */
    static final long FIRST_RETRY_MILLIS = 40;

    private static final long LONGEST_RETRY_MILLIS = 640;

    /** Ends are acknowledged with the next call; an endpoint that fell idle gets one more after this while. */
    private static final long IDLE_ACKNOWLEDGEMENT_MILLIS = 500;

    private final EndpointLink link;
    private final Host host;
    private long listedEnd;
    private long acknowledgedEnd;
    private boolean read;
    private boolean silent;
    private boolean underWay;
    private boolean idleAcknowledgementPlanned;
    private long retryMillis;

    RunListPoller(EndpointLink link, Host host) {
        this.link = link;
        this.host = host;
    }

    /** Returns whether the lists were ever read. */
    boolean read() {
        return read;
    }

    /** Returns whether the last call got no answer, so that nothing should be started. */
    boolean silent() {
        return silent;
    }

    /** Calls the endpoint unless a call is under way. */
    void pollIfIdle() {
        if (!host.closed() && !underWay) {
            poll();
        }
    }

    /** Takes the endpoint for silent until a call is answered. */
    void suspect() {
        silent = true;
        pollIfIdle();
    }

    /**
     * Reads the lists once beside the call that is under way, on a connection of its own, and then goes on.
     *
     * <p>That the endpoint obeys another holder or is another life is left to the next order, which learns it too.
     *
     * @param then what to do with what is known afterwards, also if there was no answer
     */
    void readAside(Runnable then) {
        long sentAtMillis = link.nowMillis();
        link.list(listedEnd, true, answer -> {
            if (host.closed()) {
                return;
            }
            if (answer.result() == OrderResult.DONE) {
                takeLists(answer, sentAtMillis);
            }
            then.run();
        });
    }

    private void poll() {
        long sentAtMillis = link.nowMillis();
        long acknowledging = listedEnd;
        underWay = true;
        if (read && !silent && host.anyReserved()) {
            link.renew(acknowledging, false, answer -> answered(answer, sentAtMillis, acknowledging));
        } else {
            link.list(acknowledging, silent, answer -> answered(answer, sentAtMillis, acknowledging));
        }
    }

    private void answered(HoldAnswer answer, long sentAtMillis, long acknowledging) {
        underWay = false;
        if (host.closed()) {
            return;
        }
        switch (answer.result()) {
            case DONE -> {
                acknowledgedEnd = Math.max(acknowledgedEnd, acknowledging);
                takeLists(answer, sentAtMillis);
                pollAgain();
            }
            case FENCED -> host.fenced();
            case OTHER_LIFE -> host.lifeOver();
            default -> unanswered();
        }
    }

    private void takeLists(HoldAnswer answer, long sentAtMillis) {
        for (TaskEnd end : answer.ended()) {
            if (end.number() > listedEnd) {
                listedEnd = end.number();
                host.ended(end, !read);
            }
        }
        boolean firstList = !read;
        boolean wasSilent = silent;
        silent = false;
        read = true;
        retryMillis = 0;
        host.listed(answer.running(), sentAtMillis, firstList, wasSilent);
    }

    private void pollAgain() {
        if (host.anyReserved()) {
            poll();
        } else if (!host.anyRecovered() && acknowledgedEnd < listedEnd && !idleAcknowledgementPlanned) {
            idleAcknowledgementPlanned = true;
            link.timers().after(IDLE_ACKNOWLEDGEMENT_MILLIS, this::acknowledgeIfIdle);
        }
    }

    private void acknowledgeIfIdle() {
        idleAcknowledgementPlanned = false;
        if (acknowledgedEnd < listedEnd) {
            pollIfIdle();
        }
    }

    private void unanswered() {
        silent = true;
        host.unanswered();
        link.timers().after(retryMillis, this::pollIfIdle);
        retryMillis = Math.max(FIRST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2));
    }

    /** What the lists are read for. */
    interface Host extends EndpointHost {
        /** Returns whether a run of this holder takes room there. */
        boolean anyReserved();

        /** Returns whether a run of an earlier holder takes room there. */
        boolean anyRecovered();

        /**
         * A run has ended.
         *
         * @param firstList whether the lists were never read before
         */
        void ended(TaskEnd end, boolean firstList);

        /**
         * The lists were read; their new ends were told before.
         *
         * @param sentAtMillis when the call left; what began later need not show
         * @param firstList whether the lists were never read before
         * @param wasSilent whether the call before had no answer
         */
        void listed(Iterable<RunProgress> running, long sentAtMillis, boolean firstList, boolean wasSilent);

        /** A call got no answer. */
        void unanswered();
    }
}
