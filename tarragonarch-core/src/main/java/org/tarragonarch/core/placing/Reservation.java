package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskRun;

/**
 * The room that one run takes on one endpoint, from before the order to start it leaves until it is certain that it
 * neither runs nor will.
 */
final class Reservation {
    /** How far the run is known to have got. */
    enum State {
        /** The order to start has left and is not answered. */
        STARTING,
        /** The endpoint said that it runs. */
        RUNNING,
        /** It shall not run on; the order to stop has left, or waits to be sent again. */
        STOPPING,
        /** The endpoint answered the stop: the run ends soon, or is refused if its start arrives later. */
        STOPPED
    }

    private final PlacedTask task;
    private final TaskRun run;
    private final Resources resources;
    private final long startedAtMillis;
    private State state = State.STARTING;
    private long settledAtMillis = Long.MAX_VALUE;
    private boolean wasSeen;
    private boolean listed;
    private EndKind endKindIfUnlisted = EndKind.LAPSED;
    private long carriedOutUntilMillis = Long.MIN_VALUE;
    private boolean adopted;
    private int percent = -1;
    private long progressedAtMillis;
    private boolean hasAdvanced;
    private boolean speedRecorded;
    private long slowestPercentMillis;

    Reservation(PlacedTask task, TaskRun run, Resources room, long startedAtMillis) {
        this.task = task;
        this.run = run;
        this.resources = room;
        this.startedAtMillis = startedAtMillis;
    }

    /** Returns the room of a run that an earlier holder started, and that is there. */
    static Reservation adopted(PlacedTask task, TaskRun run, Resources room, long nowMillis) {
        Reservation reservation = new Reservation(task, run, room, nowMillis);
        reservation.adopted = true;
        reservation.markListed(nowMillis);
        return reservation;
    }

    PlacedTask task() {
        return task;
    }

    /** Returns whether an earlier holder started the run, so that it is not known when. */
    boolean adopted() {
        return adopted;
    }

    TaskRun run() {
        return run;
    }

    Resources resources() {
        return resources;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    boolean is(State expected) {
        return state == expected;
    }

    boolean shouldRun() {
        return state == State.STARTING || state == State.RUNNING;
    }

    void markRunning(long nowMillis) {
        wasSeen = true;
        if (state == State.STARTING) {
            state = State.RUNNING;
            settledAtMillis = nowMillis;
        }
    }

    /** Records that a list shows the run. */
    void markListed(long nowMillis) {
        listed = true;
        endKindIfUnlisted = EndKind.LAPSED;
        markRunning(nowMillis);
    }

    /** Returns whether a list of the present incarnation has shown the run, so that it ends with that. */
    boolean isListed() {
        return listed;
    }

    /**
     * Records that a later incarnation may carry out the order, until a list or the answer to a stop settles it.
     *
     * @param kind the kind of its end if its start was answered and the run is not listed
     * @param untilMillis until when its lease may last if the endpoint cannot be reached, on the steady clock
     */
    void markUncertainAfterRestart(EndKind kind, long untilMillis) {
        endKindIfUnlisted = wasSeen ? kind : EndKind.LAPSED;
        carriedOutUntilMillis = untilMillis;
    }

    /** Returns the kind of the run's end if it is not listed. */
    EndKind endKindIfUnlisted() {
        return endKindIfUnlisted;
    }

    /** Returns whether the run is certainly over although the endpoint cannot be reached. */
    boolean isLapsed(long leaseOverAtMillis, long nowMillis) {
        return nowMillis >= Math.max(leaseOverAtMillis, carriedOutUntilMillis);
    }

    /**
     * Records how much of the work is done; returns whether that is more than an earlier list said.
     *
     * @param asOfMillis when the list was asked for
     */
    boolean recordProgress(int percentDone, long asOfMillis) {
        boolean isFirst = percent < 0;
        if (percentDone <= percent) {
            return false;
        }
        if (!isFirst) {
            hasAdvanced = true;
            long perPercent = (asOfMillis - progressedAtMillis) / (percentDone - percent);
            slowestPercentMillis = Math.max(slowestPercentMillis, perPercent);
        }
        percent = percentDone;
        progressedAtMillis = asOfMillis;
        return !isFirst;
    }

    /** Marks the run as recorded in its endpoint's speed. */
    void markSpeedRecorded() {
        speedRecorded = true;
    }

    boolean isSpeedRecorded() {
        return speedRecorded;
    }

    /** Returns whether the progress of the run has increased between two lists. */
    boolean hasAdvanced() {
        return hasAdvanced;
    }

    /** Returns the longest time for one percent of the run's work, in milliseconds; 0 while unknown. */
    long slowestPercentMillis() {
        return slowestPercentMillis;
    }

    /** Returns for how long lists have shown no progress, in milliseconds. */
    long millisWithoutProgress(long nowMillis) {
        return percent < 0 ? 0 : nowMillis - progressedAtMillis;
    }

    /** Returns whether the endpoint ever said that the run was there. */
    boolean wasSeen() {
        return wasSeen;
    }

    void markStopping() {
        state = State.STOPPING;
        settledAtMillis = Long.MAX_VALUE;
    }

    void markStopped(long goneAtMillis) {
        state = State.STOPPED;
        settledAtMillis = goneAtMillis;
    }

    /** Returns whether a call that was sent at this time and does not show the run proves that it is over. */
    boolean isOverIfUnlistedAt(long sentAtMillis) {
        return settledAtMillis < sentAtMillis;
    }
}
