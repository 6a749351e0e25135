package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.TaskRun;

/** Ends the reserved runs of one endpoint, also those that are certainly over although no list tells how. */
final class RunEnds {
    private final EndpointLink link;
    private final ReservedRoom room;
    private final HeldEndpoint endpoint;
    private final EndpointEvents events;
    private final List<PlacedTask> lapsedInSilence = new ArrayList<>();

    RunEnds(EndpointLink link, ReservedRoom room, HeldEndpoint endpoint, EndpointEvents events) {
        this.link = link;
        this.room = room;
        this.endpoint = endpoint;
        this.events = events;
    }

    /** Ends one run, whose room is free from now on. */
    void end(Reservation reservation, EndKind kind) {
        room.release(reservation);
        events.ended(endpoint, reservation, kind);
    }

    /** Ends what a list proves to be over by not showing it, and follows the progress of the rest. */
    void listed(Map<TaskRun, Integer> percentByRun, long sentAtMillis, StallDetector stalls) {
        lapsedInSilence.clear();
        for (Reservation reservation : room.all()) {
            Integer percent = percentByRun.get(reservation.run());
            if (percent != null) {
                reservation.listed(link.nowMillis());
                stalls.followProgress(reservation, percent, sentAtMillis);
                SpeedLearning.recordProgress(endpoint.speed(), reservation, percent, link.nowMillis());
            } else if (reservation.overIfAbsentAt(sentAtMillis)) {
                end(reservation, reservation.endIfAbsent());
            }
        }
    }

    /** Ends what runs on a silent endpoint as soon as its lease has certainly run out, unless it is heard before. */
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
                    lapsedInSilence.add(reservation.task());
                }
                end(reservation, reservation.endIfAbsent());
            }
        }
    }

    /** Ends everything. */
    void endAll(EndKind kind) {
        room.all().forEach(reservation -> end(reservation, kind));
    }

    /**
     * Ends everything because an endpoint with another id answers.
     *
     * <p>One that was leaving has ended as it said, and what ran there is not suspected of having crashed it.
     */
    void lifeOver(boolean leftAsPlanned) {
        endAll(kind(leftAsPlanned));
        blame(leftAsPlanned);
    }

    /**
     * Ends what the earlier incarnation has listed. All else may have been ordered after the restart, so the lists of
     * the present one tell; if it stays silent, the last order to the earlier one has to be carried out and lapse.
     */
    void restarted(boolean leftAsPlanned) {
        long untilMillis = link.nowMillis()
                + UnansweredStarts.CARRIED_OUT_WITHIN_MILLIS
                + link.settings().certainLapse();
        for (Reservation reservation : room.all()) {
            if (reservation.listed()) {
                end(reservation, kind(leftAsPlanned));
            } else {
                reservation.mayHaveMovedOn(kind(leftAsPlanned), untilMillis);
            }
        }
        blame(leftAsPlanned);
    }

    private void blame(boolean leftAsPlanned) {
        if (!leftAsPlanned) {
            lapsedInSilence.forEach(task -> events.crashed(endpoint, task));
        }
        lapsedInSilence.clear();
    }

    private static EndKind kind(boolean leftAsPlanned) {
        return leftAsPlanned ? EndKind.LAPSED : EndKind.CRASHED;
    }
}
