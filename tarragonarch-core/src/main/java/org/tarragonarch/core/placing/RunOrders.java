package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskRun;

/** Starts and stops runs on one endpoint, and keeps their room until it is certain that they are gone. */
final class RunOrders {
    /**
     * The time after which an unanswered list or stop is sent again without waiting longer for the answer: some round
     * trips. Each is sent on its own connection, and the first answer counts.
     */
    private static final long FIRST_RESEND_MILLIS = 15;

    /** The bound of the exponential backoff between two sends. */
    private static final long MAX_RESEND_MILLIS = 80;

    /** An endpoint that refuses as unhealthy is left alone this long: a few times the run time of a short task. */
    private static final long UNHEALTHY_EJECTION_MILLIS = 250;

    private final EndpointLink link;
    private final ReservedRoom room;
    private final RunListPoller poller;
    private final UnansweredStarts unanswered;
    private final Host host;

    RunOrders(EndpointLink link, ReservedRoom room, RunListPoller poller, UnansweredStarts unanswered, Host host) {
        this.link = link;
        this.room = room;
        this.poller = poller;
        this.unanswered = unanswered;
        this.host = host;
    }

    /** Starts a run, whose room is reserved from now on. */
    void start(PlacedTask task, TaskRun run, Resources need) {
        Reservation reservation = new Reservation(task, run, need, link.nowMillis());
        reserve(reservation);
        unanswered.add(link.incarnation().id(), run, link.nowMillis());
        int sentTo = link.incarnationNumber();
        link.start(run, task.job().specification(), answer -> startAnswered(reservation, answer, sentTo));
        poller.pollIfIdle();
    }

    /** Reserves the room of a run. */
    void reserve(Reservation reservation) {
        room.reserve(reservation);
        reservation.task().setPlacement(host.endpoint(), reservation);
    }

    /** Stops a run, which stays reserved until its end is certain. */
    void stop(Reservation reservation) {
        if (reservation.wanted()) {
            reservation.stopping();
            sendStop(reservation, false);
        }
    }

    /** Sends all stops again, since the present incarnation does not know those sent to an earlier one. */
    void stopAgainAfterRestart() {
        for (Reservation reservation : room.all()) {
            if (!reservation.wanted()) {
                reservation.stopping();
                sendStop(reservation, true);
            }
        }
    }

    private void startAnswered(Reservation reservation, OrderAnswer answer, int sentTo) {
        if (answer.result() != OrderResult.UNKNOWN) {
            unanswered.recordAnswered(link.incarnation().id(), reservation.run());
        }
        if (host.closed() || !room.contains(reservation)) {
            return;
        }
        if (sentTo != link.incarnationNumber() && answer.result().isRefusal()) {
            refused(reservation);
            return;
        }
        switch (answer.result()) {
            case DONE -> reservation.running(link.nowMillis());
            case UNKNOWN -> startUnanswered(reservation);
            case FENCED -> host.fenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            case OLD_RUN -> {
                room.release(reservation);
                host.events().refusedAsOld(host.endpoint(), reservation);
            }
            case UNREADABLE -> {
                room.release(reservation);
                host.events().unreadable(host.endpoint(), reservation);
            }
            default -> startRefused(reservation, answer.result());
        }
    }

    private void startRefused(Reservation reservation, OrderResult result) {
        if (result == OrderResult.NOT_SENT) {
            poller.suspect();
        } else if (result != OrderResult.TOO_LATE) {
            host.eject(UNHEALTHY_EJECTION_MILLIS);
        }
        refused(reservation);
    }

    /** The order was not carried out, and will not be. */
    private void refused(Reservation reservation) {
        room.release(reservation);
        host.events().refused(host.endpoint(), reservation);
    }

    /**
     * Settles a start that got no answer. Guards against an order that is carried out seconds after it was sent, so
     * that the task would run twice, or beyond the endpoint's capacity.
     *
     * <p>The list shows whether only the answer was lost. If the run is not in it, or the list does not arrive soon,
     * the run is stopped, which the endpoint remembers. Its room stays reserved until the stop is answered or the order
     * has expired. A stop without reading the list first would also end runs of which only the answer was lost.
     */
    private void startUnanswered(Reservation reservation) {
        if (reservation.is(Reservation.State.STARTING)) {
            poller.readAside(() -> stopIfStarting(reservation));
            link.timers().after(FIRST_RESEND_MILLIS, () -> stopIfStarting(reservation));
        }
    }

    private void stopIfStarting(Reservation reservation) {
        if (isIn(Reservation.State.STARTING, reservation)) {
            reservation.stopping();
            sendStop(reservation, true);
            poller.suspect();
        }
    }

    private void sendStop(Reservation reservation, boolean fresh) {
        sendStop(reservation, fresh, FIRST_RESEND_MILLIS);
    }

    private void sendStop(Reservation reservation, boolean fresh, long resendMillis) {
        int sentTo = link.incarnationNumber();
        link.stop(reservation.run(), fresh, answer -> stopAnswered(reservation, answer));
        link.timers().after(resendMillis, () -> {
            if (sentTo == link.incarnationNumber() && isIn(Reservation.State.STOPPING, reservation)) {
                sendStop(reservation, true, backedOff(resendMillis));
            }
        });
    }

    private boolean isIn(Reservation.State state, Reservation reservation) {
        return !host.closed() && room.contains(reservation) && reservation.is(state);
    }

    private static long backedOff(long millis) {
        return Math.min(MAX_RESEND_MILLIS, 2 * millis);
    }

    private void stopAnswered(Reservation reservation, OrderAnswer answer) {
        if (!isIn(Reservation.State.STOPPING, reservation)) {
            return;
        }
        switch (answer.result()) {
            case DONE, OLD_RUN -> stopTaken(reservation);
            case FENCED -> host.fenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> {
                // It is sent again anyway.
            }
        }
    }

    /**
     * The endpoint has taken the stop: a run that never was there will not be, so the next list that does not show it
     * proves it; one that was takes a while to end.
     */
    private void stopTaken(Reservation reservation) {
        long now = link.nowMillis();
        long stopMillis = link.settings().maxStopTime();
        if (reservation.seen()) {
            reservation.stopped(now + stopMillis);
            link.timers().after(stopMillis + 1, poller::pollIfIdle);
        } else {
            reservation.stopped(now);
            link.timers().after(1, () -> listUntilGone(reservation, FIRST_RESEND_MILLIS));
        }
    }

    private void listUntilGone(Reservation reservation, long againMillis) {
        if (isIn(Reservation.State.STOPPED, reservation)) {
            poller.readAside(() -> {});
            link.timers().after(againMillis, () -> listUntilGone(reservation, backedOff(againMillis)));
        }
    }

    /** The endpoint that the orders are for. */
    interface Host extends EndpointHost {
        /** Returns the endpoint itself. */
        HeldEndpoint endpoint();

        /** Returns who is told what becomes of runs. */
        EndpointEvents events();

        /** Starts nothing there for a while. */
        void eject(long millis);
    }
}
