package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.TaskEnd;

/**
 * Polls one endpoint for the lists of its running and ended runs.
 *
 * <p>While the endpoint has a run of this holder, one call is always in flight: it renews the lease, and is answered at
 * the next end of a run. An idle endpoint is polled only to acknowledge its last ends, unless it may restart under its
 * id: then a call is in flight too, which the endpoint answers late and a restart breaks off. Guards against a start by
 * the lists of an earlier incarnation: the current one has forgotten this holder's token, and may run the tasks of
 * another holder.
 */
final class RunListPoller {
    /** The delay after two consecutive calls without an answer; after one, the next call is sent immediately. */
    static final long FIRST_RETRY_MILLIS = 40;

    private static final long LONGEST_RETRY_MILLIS = 640;

    /** Ends are acknowledged with the next call; an endpoint that becomes idle gets one more call after this time. */
    private static final long IDLE_ACKNOWLEDGEMENT_MILLIS = 500;

    /** An endpoint is watched for a restart when it has been idle for this time: longer than most gaps between runs. */
    private static final long WATCH_AFTER_IDLE_MILLIS = 50;

    /** The maximum time for which an idle endpoint delays the answer to a poll that watches for its restart. */
    private static final long WATCH_WAIT_MILLIS = 2_000;

    private final EndpointLink link;
    private final RunListHost host;
    private final ClockReadings clockReadings;
    private long listedEnd;
    private long acknowledgedEnd;
    private boolean read;
    private boolean silent;
    private int sentPolls;
    private Optional<PollCall> awaited = Optional.empty();
    private boolean callLeavesLease;
    private boolean idleAcknowledgementScheduled;
    private boolean watchScheduled;
    private long retryMillis;

    RunListPoller(EndpointLink link, RunListHost host) {
        this.link = link;
        this.host = host;
        this.clockReadings = new ClockReadings(link, host, this::pollIfIdle);
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
        awaited = Optional.empty();
        retryMillis = 0;
    }

    /** Polls the endpoint unless a poll is in flight; one that only watches for a restart does not count. */
    void pollIfIdle() {
        if (!host.isClosed() && awaited.filter(call -> !call.watches()).isEmpty()) {
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
        boolean isDue =
                !host.isClosed() && awaited.isPresent() && callLeavesLease && read && !silent && host.needsPolling();
        long runsEndMillis = isDue ? host.runsEndMillis() : EndpointLink.NO_EXTENSION;
        if (runsEndMillis > link.nowMillis()) {
            callLeavesLease = false;
            PollCall call = newCall(PollCall.Kind.LIST);
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
        PollCall call = newCall(PollCall.Kind.LIST);
        link.list(listedEnd, true, answer -> {
            takeBeside(answer, call);
            if (!host.isClosed()) {
                then.run();
            }
        });
    }

    /** Processes the answer to a call that was sent beside the polls. */
    private void takeBeside(PollAnswer answer, PollCall call) {
        if (!host.isClosed() && answer.result() == OrderResult.DONE && isCurrent(call) && !isStale(answer)) {
            takeLists(answer, call);
            pollIfNeeded();
            renewIfDue();
        }
    }

    private void poll() {
        if (read && !silent && host.needsPolling()) {
            long runsEndMillis = host.runsEndMillis();
            callLeavesLease = runsEndMillis <= link.nowMillis();
            PollCall call = await(PollCall.Kind.RENEWAL);
            link.renew(listedEnd, runsEndMillis, answer -> answered(answer, call));
        } else {
            callLeavesLease = true;
            PollCall call = await(PollCall.Kind.LIST);
            link.list(listedEnd, silent || !read, answer -> answered(answer, call));
        }
    }

    /** Watches an idle endpoint for its restart. */
    private void watchIfIdle() {
        watchScheduled = false;
        if (!host.isClosed() && awaited.isEmpty() && read && !silent && !host.needsPolling()) {
            callLeavesLease = true;
            PollCall call = await(PollCall.Kind.WATCH);
            link.watch(listedEnd, WATCH_WAIT_MILLIS, answer -> answered(answer, call));
        }
    }

    private PollCall await(PollCall.Kind kind) {
        PollCall call = newCall(kind);
        awaited = Optional.of(call);
        return call;
    }

    private PollCall newCall(PollCall.Kind kind) {
        sentPolls++;
        return new PollCall(sentPolls, kind, link.nowMillis(), link.incarnationNumber(), listedEnd);
    }

    /**
     * Processes an answer to a poll; an answer to a call that was sent to an earlier incarnation, or that another call
     * has replaced, is dropped.
     */
    private void answered(PollAnswer answer, PollCall call) {
        if (host.isClosed() || !awaited.equals(Optional.of(call))) {
            return;
        }
        awaited = Optional.empty();
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

    private boolean isCurrent(PollCall call) {
        return call.incarnationNumber() == link.incarnationNumber();
    }

    /** Returns whether the answer comes from an incarnation that is known to be over. */
    private boolean isStale(PollAnswer answer) {
        return link.incarnation().isLaterThan(link.incarnation().withStart(answer.startedMillis()));
    }

    private void takeLists(PollAnswer answer, PollCall call) {
        followStart(answer, call);
        if (!isCurrent(call) && call.waits()) {
            // The call, and its token, may have reached the earlier incarnation only.
            return;
        }
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
    private void followStart(PollAnswer answer, PollCall call) {
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
        if (!read || host.needsPolling()) {
            // Processing the lists may already have sent the next call.
            pollIfIdle();
        } else if (host.hasRecoveredRuns()) {
            return;
        } else if (link.mayRestartUnderItsId()) {
            scheduleWatch();
        } else {
            clockReadings.schedule();
            if (acknowledgedEnd < listedEnd && !idleAcknowledgementScheduled) {
                idleAcknowledgementScheduled = true;
                link.timers().schedule(IDLE_ACKNOWLEDGEMENT_MILLIS, this::acknowledgeIfIdle);
            }
        }
    }

    private void scheduleWatch() {
        if (!watchScheduled) {
            watchScheduled = true;
            link.timers().schedule(WATCH_AFTER_IDLE_MILLIS, this::watchIfIdle);
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
}
