package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** The capacity of one endpoint and the part of it that is reserved for runs of this holder. */
final class ReservedCapacity {
    private final ShareTally tally;
    private final Map<TaskName, Reservation> reservations = new HashMap<>();
    private final OriginAuthority authority;
    private Resources capacity;
    private Resources used = Resources.NONE;
    private Resources free;

    /**
     * Creates the capacity of an endpoint without reservations.
     *
     * @param tally counts the reserved capacity by share
     * @param authority until when this node may act for the jobs whose runs have the reservations
     */
    ReservedCapacity(Resources capacity, ShareTally tally, OriginAuthority authority) {
        this.capacity = capacity;
        this.tally = tally;
        this.authority = authority;
        this.free = capacity;
    }

    /** Changes the capacity of the endpoint; reservations remain. */
    void resize(Resources now) {
        capacity = now;
        free = capacity.minus(used);
    }

    Resources free() {
        return free;
    }

    boolean isEmpty() {
        return reservations.isEmpty();
    }

    /** Returns a copy of the reservations, so that they can be released during an iteration. */
    ImmutableList<Reservation> snapshot() {
        return ImmutableList.copyOf(reservations.values());
    }

    /** Returns the reservation of a run, or empty if there is none. */
    Optional<Reservation> find(TaskRun run) {
        return Optional.ofNullable(reservations.get(run.task()))
                .filter(own -> own.run().equals(run));
    }

    /** Returns whether capacity is reserved for a suspect task, under which an endpoint has crashed. */
    boolean hasSuspectTask() {
        for (Reservation reservation : reservations.values()) {
            if (reservation.task().hasCrashed()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns until when all runs on the endpoint may continue, including those that are being stopped, on the steady
     * clock in milliseconds.
     */
    long runsEndMillis() {
        long end = Long.MAX_VALUE;
        for (Reservation reservation : reservations.values()) {
            end = Math.min(
                    end, authority.runsEndAtMillis(reservation.task().job().origin()));
        }
        return Math.min(end, stopsEndMillis());
    }

    /**
     * Returns until when runs may continue whose job has ended and whose stop is not answered, on the steady clock in
     * milliseconds.
     *
     * <p>Guards against a run that continues for as long as polls extend the lease of other runs, while its job is
     * started elsewhere.
     */
    long stopsEndMillis() {
        long end = Long.MAX_VALUE;
        for (Reservation reservation : reservations.values()) {
            end = Math.min(end, reservation.runEndMillis());
        }
        return end;
    }

    boolean contains(Reservation reservation) {
        return reservations.get(reservation.run().task()) == reservation;
    }

    void reserve(Reservation reservation) {
        reservations.put(reservation.run().task(), reservation);
        used = used.plus(reservation.resources());
        PlacedJob job = reservation.task().job();
        tally.reserved(job.share(), reservation.resources().milliCores(), job.expectedRunMillis());
        free = capacity.minus(used);
    }

    void release(Reservation reservation) {
        if (reservations.remove(reservation.run().task(), reservation)) {
            used = used.minus(reservation.resources());
            PlacedJob job = reservation.task().job();
            tally.released(job.share(), reservation.resources().milliCores(), job.expectedRunMillis());
            free = capacity.minus(used);
        }
    }
}
