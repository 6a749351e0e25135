package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskRun;

/** Starts and stops runs on one endpoint, and keeps their capacity reserved until it is certain that they are over. */
final class RunOrders {
    /**
     * The time after which an unanswered list or stop call is sent again in parallel: a few round trips. Each is sent
     * on a new connection, and the first answer is used.
     */
    static final long FIRST_RESEND_MILLIS = 15;

    /** The upper bound of the exponential backoff between two sends. */
    private static final long MAX_RESEND_MILLIS = 80;

    /** The ejection time of an endpoint that refuses a start as unhealthy: a few run times of a short task. */
    private static final long UNHEALTHY_EJECTION_MILLIS = 250;

    private final EndpointLink link;
    private final ReservedCapacity reserved;
    private final RunListPoller poller;
    private final UnansweredStarts unanswered;
    private final Host host;

    RunOrders(
            EndpointLink link,
            ReservedCapacity reserved,
            RunListPoller poller,
            UnansweredStarts unanswered,
            Host host) {
        this.link = link;
        this.reserved = reserved;
        this.poller = poller;
        this.unanswered = unanswered;
        this.host = host;
    }

    /** Reserves the capacity of a run and sends the order to start it. */
    void start(PlacedTask task, TaskRun run, Resources need) {
        Reservation reservation = new Reservation(task, run, need, link.nowMillis());
        reserve(reservation);
        unanswered.add(link.incarnation().id(), run, link.nowMillis());
        int sentTo = link.incarnationNumber();
        link.start(
                run,
                task.job().specification(),
                host.runsEndMillis(),
                answer -> startAnswered(reservation, answer, sentTo));
        poller.pollIfIdle();
    }

    /** Reserves the capacity of a run. */
    void reserve(Reservation reservation) {
        reserved.reserve(reservation);
        reservation.task().setPlacement(host.endpoint(), reservation);
    }

    /** Stops a run; its capacity remains reserved until its end is certain. */
    void stop(Reservation reservation) {
        if (reservation.task().job().isOver()) {
            reservation.markJobOver(link.nowMillis());
        }
        if (reservation.shouldRun()) {
            reservation.markStopping();
            sendStop(reservation, false);
        }
    }

    /** Sends all stops again, because the current incarnation does not know those sent to an earlier one. */
    void resendStopsAfterRestart() {
        for (Reservation reservation : reserved.snapshot()) {
            if (!reservation.shouldRun()) {
                reservation.markStopping();
                sendStop(reservation, true);
            }
        }
    }

    private void startAnswered(Reservation reservation, OrderAnswer answer, int sentTo) {
        if (answer.result() != OrderResult.UNKNOWN) {
            unanswered.recordAnswered(link.incarnation().id(), reservation.run());
        }
        if (host.isClosed() || !reserved.contains(reservation)) {
            return;
        }
        if (sentTo != link.incarnationNumber() && answer.result().isRefusal()) {
            releaseRefused(reservation);
            return;
        }
        switch (answer.result()) {
            case DONE -> reservation.markRunning(link.nowMillis());
            case UNKNOWN -> startUnanswered(reservation);
            case FENCED -> host.endpointFenced();
            case OTHER_ENDPOINT -> {
                // The endpoint that answers has not carried out the order, so its predecessor did not crash under it.
                releaseRefused(reservation);
                host.endpointGone();
            }
            case OLD_RUN -> {
                reserved.release(reservation);
                host.listener().startRefusedAsOld(host.endpoint(), reservation);
            }
            case UNREADABLE -> {
                reserved.release(reservation);
                host.listener().orderUnreadable(host.endpoint(), reservation);
            }
            default -> startRefused(reservation, answer.result());
        }
    }

    private void startRefused(Reservation reservation, OrderResult result) {
        if (result == OrderResult.NOT_SENT) {
            poller.markSilent();
        } else if (result != OrderResult.TOO_LATE) {
            host.eject(UNHEALTHY_EJECTION_MILLIS);
        }
        releaseRefused(reservation);
    }

    /** Releases the capacity of a run whose start order was not, and will not be, carried out. */
    private void releaseRefused(Reservation reservation) {
        reserved.release(reservation);
        host.listener().startRefused(host.endpoint(), reservation);
    }

    /**
     * Settles a start that got no answer. Guards against an order that is carried out seconds after it was sent, so
     * that the task would run twice, or beyond the endpoint's capacity.
     *
     * <p>The list shows whether only the answer was lost. If the run is not in it, or the list does not arrive soon,
     * the run is stopped, which the endpoint remembers. Its capacity stays reserved until the stop is answered or the
     * order has expired. A stop without reading the list first would also end runs of which only the answer was lost.
     */
    private void startUnanswered(Reservation reservation) {
        if (reservation.is(Reservation.State.STARTING)) {
            poller.readOnNewConnection(() -> stopIfStarting(reservation));
            link.timers().schedule(FIRST_RESEND_MILLIS, () -> stopIfStarting(reservation));
        }
    }

    private void stopIfStarting(Reservation reservation) {
        if (isIn(Reservation.State.STARTING, reservation)) {
            reservation.markStopping();
            sendStop(reservation, true);
            poller.markSilent();
        }
    }

    private void sendStop(Reservation reservation, boolean fresh) {
        sendStop(reservation, fresh, FIRST_RESEND_MILLIS);
    }

    private void sendStop(Reservation reservation, boolean fresh, long resendMillis) {
        int sentTo = link.incarnationNumber();
        link.stop(reservation.run(), fresh, answer -> stopAnswered(reservation, answer));
        link.timers().schedule(resendMillis, () -> {
            if (sentTo == link.incarnationNumber() && isIn(Reservation.State.STOPPING, reservation)) {
                sendStop(reservation, true, backedOff(resendMillis));
            }
        });
    }

    private boolean isIn(Reservation.State state, Reservation reservation) {
        return !host.isClosed() && reserved.contains(reservation) && reservation.is(state);
    }

    /** Returns the time from one send to the next, given the time before that one. */
    static long backedOff(long millis) {
        return Math.min(MAX_RESEND_MILLIS, 2 * millis);
    }

    private void stopAnswered(Reservation reservation, OrderAnswer answer) {
        if (!isIn(Reservation.State.STOPPING, reservation)) {
            return;
        }
        switch (answer.result()) {
            case DONE, OLD_RUN -> stopAccepted(reservation);
            case FENCED -> host.endpointFenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> {
                // The stop is sent again in any case.
            }
        }
    }

    /**
     * Handles an accepted stop. A run that was never reported can no longer start, so the next list that lacks it
     * proves that it is over; a reported run needs the stop time to end.
     */
    private void stopAccepted(Reservation reservation) {
        long now = link.nowMillis();
        long stopMillis = link.settings().maxStopTime();
        if (reservation.wasSeen()) {
            reservation.markStopped(now + stopMillis);
            link.timers().schedule(stopMillis + 1, poller::pollIfIdle);
        } else {
            reservation.markStopped(now);
            link.timers().schedule(1, () -> listUntilGone(reservation, FIRST_RESEND_MILLIS));
        }
    }

    private void listUntilGone(Reservation reservation, long againMillis) {
        if (isIn(Reservation.State.STOPPED, reservation)) {
            poller.readOnNewConnection(() -> {});
            link.timers().schedule(againMillis, () -> listUntilGone(reservation, backedOff(againMillis)));
        }
    }

    /** The endpoint that receives the orders. */
    interface Host extends EndpointHost {
        /** Returns the endpoint itself. */
        HeldEndpoint endpoint();

        /** Returns the listener for the results of orders. */
        EndpointListener listener();

        /** Ejects the endpoint for at least the given time. */
        void eject(long millis);
    }
}
