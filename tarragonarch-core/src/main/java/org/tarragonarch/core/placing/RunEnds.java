package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.TaskRun;

/** Ends the reserved runs of one endpoint, including those that are certainly over although no list shows their end. */
final class RunEnds {
    private final EndpointLink link;
    private final ReservedRoom room;
    private final HeldEndpoint endpoint;
    private final EndpointEvents events;
    private final List<PlacedTask> lapsedUnreachable = new ArrayList<>();

    RunEnds(EndpointLink link, ReservedRoom room, HeldEndpoint endpoint, EndpointEvents events) {
        this.link = link;
        this.room = room;
        this.endpoint = endpoint;
        this.events = events;
    }

    /** Ends one run and releases its room. */
    void end(Reservation reservation, EndKind kind) {
        room.release(reservation);
        events.ended(endpoint, reservation, kind);
    }

    /** Ends one run as the endpoint lists it. */
    void endAsListed(Reservation reservation, EndKind kind) {
        if (kind == EndKind.LAPSED) {
            room.release(reservation);
            events.lapsedUnnoticed(endpoint, reservation);
        } else {
            end(reservation, kind);
        }
    }

    /** Ends the runs that are certainly over because a list does not contain them; follows the progress of the rest. */
    void processList(Map<TaskRun, Integer> percentByRun, long sentAtMillis, StallDetector stalls) {
        lapsedUnreachable.clear();
        for (Reservation reservation : room.all()) {
            Integer percent = percentByRun.get(reservation.run());
            if (percent != null) {
                reservation.markListed(link.nowMillis());
                stalls.followProgress(reservation, percent, sentAtMillis);
                SpeedLearning.recordProgress(endpoint.speed(), reservation, percent, link.nowMillis());
            } else if (reservation.overIfAbsentAt(sentAtMillis)) {
                end(reservation, reservation.endIfAbsent());
            }
        }
    }

    /** Ends the runs of an unreachable endpoint once their lease has certainly expired, unless it answers before. */
    void lapseWhile(BooleanSupplier isSilent) {
        lapseIfOver(isSilent);
        if (!room.isEmpty()) {
            long left = link.leaseOverAtMillis() - link.nowMillis();
            link.timers().after(left, () -> lapseIfOver(isSilent));
        }
    }

    private void lapseIfOver(BooleanSupplier isSilent) {
        if (!isSilent.getAsBoolean()) {
            return;
        }
        for (Reservation reservation : room.all()) {
            if (reservation.isLapsed(link.leaseOverAtMillis(), link.nowMillis())) {
                if (reservation.seen() && reservation.endIfAbsent() == EndKind.LAPSED) {
                    lapsedUnreachable.add(reservation.task());
                }
                end(reservation, reservation.endIfAbsent());
            }
        }
    }

    /** Ends all runs. */
    void endAll(EndKind kind) {
        room.all().forEach(reservation -> end(reservation, kind));
    }

    /**
     * Ends all runs because an endpoint with another id answers.
     *
     * <p>If the endpoint was leaving, its end was planned, and its runs are not suspected of having crashed it.
     */
    void endpointGone(boolean leftAsPlanned) {
        endAll(endKind(leftAsPlanned));
        reportCrash(leftAsPlanned);
    }

    /**
     * Ends the runs that the earlier incarnation has listed. Each other run may have been started by the present
     * incarnation and is settled by its lists. If those cannot be read, the run is over once an order to the earlier
     * incarnation can no longer be carried out and the lease has expired.
     */
    void restarted(boolean leftAsPlanned) {
        long untilMillis = link.nowMillis()
                + UnansweredStarts.CARRIED_OUT_WITHIN_MILLIS
                + link.settings().leaseExpiry();
        for (Reservation reservation : room.all()) {
            if (reservation.isListed()) {
                end(reservation, endKind(leftAsPlanned));
            } else {
                reservation.mayHaveMovedOn(endKind(leftAsPlanned), untilMillis);
            }
        }
        reportCrash(leftAsPlanned);
    }

    private void reportCrash(boolean leftAsPlanned) {
        if (!leftAsPlanned) {
            lapsedUnreachable.forEach(task -> events.crashed(endpoint, task));
        }
        lapsedUnreachable.clear();
    }

    private static EndKind endKind(boolean leftAsPlanned) {
        return leftAsPlanned ? EndKind.LAPSED : EndKind.CRASHED;
    }
}
