package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** The room of one endpoint, as far as runs of this holder take it. */
final class ReservedRoom {
    private final ShareTally tally;
    private final Map<TaskName, Reservation> reservations = new HashMap<>();
    private Resources capacity;
    private Resources used = Resources.NONE;
    private Resources free;

    /**
     * Creates the room of an endpoint on which nothing runs.
     *
     * @param tally counts what runs take, by share
     */
    ReservedRoom(Resources capacity, ShareTally tally) {
        this.capacity = capacity;
        this.tally = tally;
        this.free = capacity;
    }

    /** Records that the endpoint has another size now. */
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

    /** Returns the reservations as they are now; they may be released meanwhile. */
    ImmutableList<Reservation> all() {
        return ImmutableList.copyOf(reservations.values());
    }

    /** Returns the reservation of a run, if there is one. */
    Optional<Reservation> of(TaskRun run) {
        return Optional.ofNullable(reservations.get(run.task()))
                .filter(own -> own.run().equals(run));
    }

    /** Returns whether the room of any task is reserved under which an endpoint has crashed. */
    boolean anySuspect() {
        for (Reservation reservation : reservations.values()) {
            if (reservation.task().hasCrashed()) {
                return true;
            }
        }
        return false;
    }

    boolean contains(Reservation reservation) {
        return reservations.get(reservation.run().task()) == reservation;
    }

    void reserve(Reservation reservation) {
        reservations.put(reservation.run().task(), reservation);
        used = used.plus(reservation.room());
        PlacedJob job = reservation.task().job();
        tally.reserved(job.share(), reservation.room().milliCores(), job.expectedRunMillis());
        free = capacity.minus(used);
    }

    void release(Reservation reservation) {
        if (reservations.remove(reservation.run().task(), reservation)) {
            used = used.minus(reservation.room());
            PlacedJob job = reservation.task().job();
            tally.released(job.share(), reservation.room().milliCores(), job.expectedRunMillis());
            free = capacity.minus(used);
        }
    }
}
