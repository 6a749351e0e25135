package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.EndpointIncarnation;
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
    private boolean hasRead;
    private boolean isSilent;
    private boolean underWay;
    private boolean idleAcknowledgementPlanned;
    private long retryMillis;

    RunListPoller(EndpointLink link, Host host) {
        this.link = link;
        this.host = host;
    }

    /** Returns whether it is known what runs there. */
    boolean hasRead() {
        return hasRead;
    }

    /** Notes that it is known without a list what runs: nothing. */
    void markRead() {
        hasRead = true;
    }

    /** Returns whether the last call got no answer, so that nothing should be started. */
    boolean isSilent() {
        return isSilent;
    }

    /** Resets the poller for a later incarnation, which numbers its ends from 1 and has not been read. */
    void reset() {
        listedEnd = 0;
        acknowledgedEnd = 0;
        hasRead = false;
        isSilent = false;
        underWay = false;
        retryMillis = 0;
    }

    /** Calls the endpoint unless a call is under way. */
    void pollIfIdle() {
        if (!host.isClosed() && !underWay) {
            poll();
        }
    }

    /** Takes the endpoint for silent until a call is answered. */
    void markSilent() {
        isSilent = true;
        pollIfIdle();
    }

    /**
     * Reads the lists once beside the call that is under way, on a connection of its own, and then goes on.
     *
     * <p>An answer that the endpoint obeys another holder, or is another incarnation, is ignored here: the next order
     * gets it too.
     *
     * @param then what to do with what is known afterwards, also if there was no answer
     */
    void readOnNewConnection(Runnable then) {
        Call call = new Call(link.nowMillis(), link.incarnationNumber(), listedEnd);
        link.list(listedEnd, true, answer -> {
            if (host.isClosed()) {
                return;
            }
            if (answer.result() == OrderResult.DONE && isCurrent(call) && !isStale(answer)) {
                takeLists(answer, call);
                pollIfNeeded();
            }
            then.run();
        });
    }

    private void poll() {
        Call call = new Call(link.nowMillis(), link.incarnationNumber(), listedEnd);
        underWay = true;
        if (hasRead && !isSilent && host.needsPolling()) {
            link.renew(listedEnd, false, answer -> answered(answer, call));
        } else {
            link.list(listedEnd, isSilent || !hasRead, answer -> answered(answer, call));
        }
    }

    /** Processes an answer; one to a call that was sent to an earlier incarnation is dropped. */
    private void answered(HoldAnswer answer, Call call) {
        if (host.isClosed() || !isCurrent(call)) {
            return;
        }
        underWay = false;
        switch (answer.result()) {
            case DONE -> {
                if (isStale(answer)) {
                    unanswered();
                } else {
                    takeLists(answer, call);
                    pollAgain();
                }
            }
            case FENCED -> host.endpointFenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> unanswered();
        }
    }

    private boolean isCurrent(Call call) {
        return call.incarnationNumber() == link.incarnationNumber();
    }

    /** Returns whether an incarnation answers that is known to be over. */
    private boolean isStale(HoldAnswer answer) {
        return link.incarnation().isLaterThan(link.incarnation().startedAt(answer.startedMillis()));
    }

    private void takeLists(HoldAnswer answer, Call call) {
        followStart(answer);
        if (isCurrent(call)) {
            acknowledgedEnd = Math.max(acknowledgedEnd, call.acknowledgedEnd());
        }
        link.updateClock(answer.clockMillis());
        for (TaskEnd end : answer.ended()) {
            if (end.number() > listedEnd) {
                listedEnd = end.number();
                host.runEnded(end);
            }
        }
        boolean firstList = !hasRead;
        boolean wasSilent = isSilent;
        isSilent = false;
        hasRead = true;
        retryMillis = 0;
        host.listsRead(answer.running(), call.sentAtMillis(), firstList, wasSilent);
    }

    /**
     * Switches to a later incarnation if one answers. If the start was unknown so far, the incarnation is kept, since
     * nothing proves that it is another; its ends are read from number 1, in case it is.
     */
    private void followStart(HoldAnswer answer) {
        EndpointIncarnation answering = link.incarnation().startedAt(answer.startedMillis());
        if (answering.isLaterThan(link.incarnation())) {
            host.endpointRestarted(answering);
        } else if (answering.hasStart() && !link.incarnation().hasStart()) {
            link.recordStart(answer.startedMillis());
            resetEnds();
        }
    }

    /** Reads the ends from number 1 again, because an incarnation has told its start that had not told it before. */
    void resetEnds() {
        listedEnd = 0;
        acknowledgedEnd = 0;
    }

    private void pollIfNeeded() {
        if (host.needsPolling()) {
            pollIfIdle();
        }
    }

    private void pollAgain() {
        if (host.needsPolling()) {
            // What the lists led to may have sent the next call already.
            pollIfIdle();
        } else if (!host.hasRecoveredRuns() && acknowledgedEnd < listedEnd && !idleAcknowledgementPlanned) {
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
        isSilent = true;
        host.pollUnanswered();
        link.timers().after(retryMillis, this::pollIfIdle);
        retryMillis = Math.max(FIRST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2));
    }

    /**
     * A call to the endpoint.
     *
     * @param sentAtMillis when it was sent
     * @param incarnationNumber which incarnation it was meant for
     * @param acknowledgedEnd the highest number of an end that need not be listed again
     */
    private record Call(long sentAtMillis, int incarnationNumber, long acknowledgedEnd) {}

    /** What the lists are read for. */
    interface Host extends EndpointHost {
        /** Returns whether a run of this holder takes room there, or an order to start one may yet be carried out. */
        boolean needsPolling();

        /** Returns whether a run of an earlier holder takes room there. */
        boolean hasRecoveredRuns();

        /** A run has ended. */
        void runEnded(TaskEnd end);

        /**
         * The lists were read; {@link #runEnded} was called before for each new end.
         *
         * @param sentAtMillis when the call was sent; a run that began later may be missing
         * @param firstList whether these are the first lists of this incarnation
         * @param wasSilent whether the previous call got no answer
         */
        void listsRead(Iterable<RunProgress> running, long sentAtMillis, boolean firstList, boolean wasSilent);

        /** A later incarnation answers; its lists follow. */
        void endpointRestarted(EndpointIncarnation later);

        /** A call got no answer. */
        void pollUnanswered();
    }
}
