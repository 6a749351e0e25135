package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.TaskEnd;
import org.tarragonarch.model.task.TaskRun;

/** Ends the reserved runs of one endpoint, including those that are certainly over although no list has their end. */
final class RunEnds {
    private final EndpointLink link;
    private final ReservedCapacity reserved;
    private final HeldEndpoint endpoint;
    private final EndpointListener listener;
    private final List<Reservation> lapsedWhileUnreachable = new ArrayList<>();

    RunEnds(EndpointLink link, ReservedCapacity reserved, HeldEndpoint endpoint, EndpointListener listener) {
        this.link = link;
        this.reserved = reserved;
        this.endpoint = endpoint;
        this.listener = listener;
    }

    /** Ends one run and releases its capacity. */
    void end(Reservation reservation, EndKind kind) {
        reserved.release(reservation);
        listener.runEnded(endpoint, reservation, kind);
    }

    /** Processes a newly listed end of a run, which may hold no capacity. */
    void processListed(TaskEnd end) {
        Optional<Reservation> reservation = reserved.find(end.run());
        if (reservation.isPresent()) {
            endAsListed(reservation.get(), end.kind());
        } else if (end.kind().countsAsAttempt()) {
            listener.failedRunListed(end.run());
        }
    }

    private void endAsListed(Reservation reservation, EndKind kind) {
        if (kind == EndKind.LAPSED) {
            reserved.release(reservation);
            listener.runLapsedUnnoticed(endpoint, reservation);
        } else {
            end(reservation, kind);
        }
    }

    /** Ends the runs that are certainly over because a list lacks them, and records the progress of the listed runs. */
    void processList(Map<TaskRun, Integer> percentByRun, long sentAtMillis, StallDetector stalls) {
        lapsedWhileUnreachable.clear();
        for (Reservation reservation : reserved.snapshot()) {
            Integer percent = percentByRun.get(reservation.run());
            if (percent != null) {
                reservation.markListed(link.nowMillis());
                stalls.checkProgress(reservation, percent, sentAtMillis);
                SpeedLearning.recordProgress(endpoint.speed(), reservation, percent, link.nowMillis());
            } else if (reservation.isOverIfUnlistedAt(sentAtMillis)) {
                end(reservation, reservation.endKindIfUnlisted());
            }
        }
    }

    /**
     * Ends the runs of an unreachable endpoint once their lease has certainly expired, unless the endpoint answers
     * before.
     *
     * @param isSilent returns whether the endpoint is still unreachable
     */
    void endLapsedRuns(BooleanSupplier isSilent) {
        lapseIfOver(isSilent);
        if (!reserved.isEmpty()) {
            long left = link.leaseExpiryMillis() - link.nowMillis();
            link.timers().schedule(left, () -> lapseIfOver(isSilent));
        }
    }

    private void lapseIfOver(BooleanSupplier isSilent) {
        if (!isSilent.getAsBoolean()) {
            return;
        }
        for (Reservation reservation : reserved.snapshot()) {
            if (reservation.isLapsed(link.leaseExpiryMillis(), link.nowMillis())) {
                if (reservation.wasSeen() && reservation.endKindIfUnlisted() == EndKind.LAPSED) {
                    lapsedWhileUnreachable.add(reservation);
                }
                end(reservation, reservation.endKindIfUnlisted());
            }
        }
    }

    /** Ends all runs. */
    void endAll(EndKind kind) {
        reserved.snapshot().forEach(reservation -> end(reservation, kind));
    }

    /**
     * Ends all runs because an endpoint with another id answers. A run that no answer or list has confirmed may never
     * have started, so it counts as lapsed.
     *
     * @param leftAsPlanned whether the endpoint was leaving, so that its tasks are not suspected of crashing it
     */
    void endpointGone(boolean leftAsPlanned) {
        for (Reservation reservation : reserved.snapshot()) {
            end(reservation, reservation.endKindIfOver(endKind(leftAsPlanned)));
        }
        reportCrash(leftAsPlanned);
    }

    /**
     * Ends the runs that the earlier incarnation has listed. The current incarnation may have started any other run, so
     * its lists decide. If those cannot be read, the run is over once an order to the earlier incarnation can no longer
     * be carried out and the lease has expired.
     *
     * @param leftAsPlanned whether the endpoint was leaving, so that its tasks are not suspected of crashing it
     */
    void endpointRestarted(boolean leftAsPlanned) {
        long untilMillis = link.nowMillis()
                + UnansweredStarts.CARRIED_OUT_WITHIN_MILLIS
                + link.settings().leaseExpiry();
        for (Reservation reservation : reserved.snapshot()) {
            if (reservation.isListed()) {
                end(reservation, endKind(leftAsPlanned));
            } else {
                reservation.markUncertainAfterRestart(endKind(leftAsPlanned), untilMillis);
            }
        }
        reportCrash(leftAsPlanned);
    }

    private void reportCrash(boolean leftAsPlanned) {
        if (!leftAsPlanned) {
            lapsedWhileUnreachable.forEach(reservation -> listener.crashConfirmed(endpoint, reservation));
        }
        lapsedWhileUnreachable.clear();
    }

    private static EndKind endKind(boolean leftAsPlanned) {
        return leftAsPlanned ? EndKind.LAPSED : EndKind.CRASHED;
    }
}
