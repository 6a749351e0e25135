package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.TaskEnd;

/**
 * Polls one endpoint for the lists of its running and ended runs.
 *
 * <p>While the endpoint has a run of this holder, one call is always in flight: it renews the lease, and is answered at
 * the next end of a run. An idle endpoint is polled only to acknowledge its last ends.
 */
final class RunListPoller {
    /** The delay after two consecutive calls without an answer; after one, the next call is sent immediately. */
    static final long FIRST_RETRY_MILLIS = 40;

    private static final long LONGEST_RETRY_MILLIS = 640;

    /** Ends are acknowledged with the next call; an endpoint that becomes idle gets one more call after this time. */
    private static final long IDLE_ACKNOWLEDGEMENT_MILLIS = 500;

    private final EndpointLink link;
    private final Host host;
    private long listedEnd;
    private long acknowledgedEnd;
    private boolean read;
    private boolean silent;
    private boolean callInFlight;
    private boolean callLeavesLease;
    private boolean idleAcknowledgementScheduled;
    private long retryMillis;

    RunListPoller(EndpointLink link, Host host) {
        this.link = link;
        this.host = host;
    }

    /** Returns whether the lists of the current incarnation were read, so that its runs are known. */
    boolean hasRead() {
        return read;
    }

    /** Records that nothing runs on the endpoint, which makes a first list unnecessary. */
    void markRead() {
        read = true;
    }

    /** Returns whether the last call got no answer, so that nothing should be started on the endpoint. */
    boolean isSilent() {
        return silent;
    }

    /** Resets the poller for a later incarnation, which numbers its ends from 1 and whose lists were not read yet. */
    void reset() {
        listedEnd = 0;
        acknowledgedEnd = 0;
        read = false;
        silent = false;
        callInFlight = false;
        retryMillis = 0;
    }

    /** Polls the endpoint unless a poll is in flight. */
    void pollIfIdle() {
        if (!host.isClosed() && !callInFlight) {
            poll();
        }
    }

    /** Treats the endpoint as silent until a call is answered. */
    void markSilent() {
        silent = true;
        pollIfIdle();
    }

    /**
     * Extends the leases in parallel with a waiting poll that does not, if they may be extended now.
     *
     * <p>Guards against adopted runs that lapse although the runs beside them were stopped in time.
     */
    void renewIfDue() {
        boolean isDue = !host.isClosed() && callInFlight && callLeavesLease && read && !silent && host.needsPolling();
        long runsEndMillis = isDue ? host.runsEndMillis() : EndpointLink.NO_EXTENSION;
        if (runsEndMillis > link.nowMillis()) {
            callLeavesLease = false;
            Call call = new Call(link.nowMillis(), link.incarnationNumber(), listedEnd);
            link.renewWithoutWait(listedEnd, runsEndMillis, answer -> takeBeside(answer, call));
        }
    }

    /**
     * Reads the lists once on a new connection, in parallel with any poll in flight.
     *
     * <p>An answer that the endpoint is fenced, or has another id, is ignored: the next call gets the same answer.
     *
     * @param then called after the lists were processed, or when there is no usable answer
     */
    void readOnNewConnection(Runnable then) {
        Call call = new Call(link.nowMillis(), link.incarnationNumber(), listedEnd);
        link.list(listedEnd, true, answer -> {
            takeBeside(answer, call);
            if (!host.isClosed()) {
                then.run();
            }
        });
    }

    /** Processes the answer to a call that was sent beside the polls. */
    private void takeBeside(PollAnswer answer, Call call) {
        if (!host.isClosed() && answer.result() == OrderResult.DONE && isCurrent(call) && !isStale(answer)) {
            takeLists(answer, call);
            pollIfNeeded();
            renewIfDue();
        }
    }

    private void poll() {
        Call call = new Call(link.nowMillis(), link.incarnationNumber(), listedEnd);
        callInFlight = true;
        if (read && !silent && host.needsPolling()) {
            long runsEndMillis = host.runsEndMillis();
            callLeavesLease = runsEndMillis <= link.nowMillis();
            link.renew(listedEnd, runsEndMillis, answer -> answered(answer, call));
        } else {
            callLeavesLease = true;
            link.list(listedEnd, silent || !read, answer -> answered(answer, call));
        }
    }

    /** Processes an answer to a poll; an answer to a call that was sent to an earlier incarnation is dropped. */
    private void answered(PollAnswer answer, Call call) {
        if (host.isClosed() || !isCurrent(call)) {
            return;
        }
        callInFlight = false;
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

    /** Returns whether the answer comes from an incarnation that is known to be over. */
    private boolean isStale(PollAnswer answer) {
        return link.incarnation().isLaterThan(link.incarnation().withStart(answer.startedMillis()));
    }

    private void takeLists(PollAnswer answer, Call call) {
        followStart(answer, call);
        if (isCurrent(call)) {
            acknowledgedEnd = Math.max(acknowledgedEnd, call.acknowledgedEnd());
        }
        link.updateClock(answer.clockMillis(), call.sentAtMillis());
        for (TaskEnd end : answer.ended()) {
            if (end.number() > listedEnd) {
                listedEnd = end.number();
                host.runEnded(end);
            }
        }
        boolean firstList = !read;
        boolean wasSilent = silent;
        silent = false;
        read = true;
        retryMillis = 0;
        host.listsRead(answer.running(), call.sentAtMillis(), firstList, wasSilent);
    }

    /**
     * Switches to a later incarnation if one answers, as its start time or its clock shows. If the start time was
     * unknown so far and the clock proves nothing, the incarnation is kept; its ends are read again from number 1 in
     * case another one answers.
     */
    private void followStart(PollAnswer answer, Call call) {
        EndpointIncarnation answering = link.incarnation().withStart(answer.startedMillis());
        if (answering.isLaterThan(link.incarnation())
                || link.isOfLaterIncarnation(answer.clockMillis(), call.sentAtMillis())) {
            host.endpointRestarted(answering);
        } else if (answering.hasStart() && !link.incarnation().hasStart()) {
            link.recordStart(answer.startedMillis());
            resetEnds();
        }
    }

    /** Reads the ends again from number 1, because the start time of the incarnation has become known. */
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
            // Processing the lists may already have sent the next call.
            pollIfIdle();
        } else if (!host.hasRecoveredRuns() && acknowledgedEnd < listedEnd && !idleAcknowledgementScheduled) {
            idleAcknowledgementScheduled = true;
            link.timers().schedule(IDLE_ACKNOWLEDGEMENT_MILLIS, this::acknowledgeIfIdle);
        }
    }

    private void acknowledgeIfIdle() {
        idleAcknowledgementScheduled = false;
        if (acknowledgedEnd < listedEnd) {
            pollIfIdle();
        }
    }

    private void unanswered() {
        silent = true;
        host.pollUnanswered();
        link.timers().schedule(retryMillis, this::pollIfIdle);
        retryMillis = Math.max(FIRST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2));
    }

    /**
     * A call to the endpoint.
     *
     * @param sentAtMillis when the call was sent, on the steady clock
     * @param incarnationNumber the number of the incarnation that the call was sent to
     * @param acknowledgedEnd the highest number of an end that need not be listed again
     */
    private record Call(long sentAtMillis, int incarnationNumber, long acknowledgedEnd) {}

    /** The endpoint that is polled. */
    interface Host extends EndpointHost {
        /** Returns whether the endpoint has a run of this holder, or may still carry out an order to start one. */
        boolean needsPolling();

        /** Returns whether the endpoint has a run of an earlier holder. */
        boolean hasRecoveredRuns();

        /** Called for each newly listed end of a run. */
        void runEnded(TaskEnd end);

        /**
         * Called when the lists were read, after {@link #runEnded} for each new end.
         *
         * @param running the runs in progress
         * @param sentAtMillis when the call was sent, on the steady clock; a run that started later may be missing
         * @param firstList whether these are the first lists of this incarnation
         * @param wasSilent whether the previous call got no answer
         */
        void listsRead(Iterable<RunProgress> running, long sentAtMillis, boolean firstList, boolean wasSilent);

        /** Called when a later incarnation answers, before its lists are processed. */
        void endpointRestarted(EndpointIncarnation later);

        /** Called when a poll got no usable answer. */
        void pollUnanswered();
    }
}
