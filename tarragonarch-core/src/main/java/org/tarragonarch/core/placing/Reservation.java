package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskRun;

/**
 * The capacity of one run on one endpoint, reserved from before the start order is sent until it is certain that the
 * run is over and will not start.
 */
final class Reservation {
    /** The state of the run as known to this holder. */
    enum State {
        /** The start order was sent and is not answered. */
        STARTING,
        /** The endpoint reported that the run is in progress. */
        RUNNING,
        /** The run is to be stopped; the stop order was sent, and is repeated until it is answered. */
        STOPPING,
        /** The endpoint answered the stop: the run ends soon, or its start is refused if it arrives later. */
        STOPPED
    }

    /**
     * How long the run may continue after its job has ended here if its stop is not answered: less than the 1.3 s after
     * which a client that has left may have submitted the job again.
     */
    private static final long MAX_AFTER_JOB_MILLIS = 1_200;

    private final PlacedTask task;
    private final TaskRun run;
    private final Resources resources;
    private final long startedAtMillis;
    private State state = State.STARTING;
    private long settledAtMillis = Long.MAX_VALUE;
    private boolean seen;
    private boolean listed;
    private EndKind endKindIfUnlisted = EndKind.LAPSED;
    private long uncertainUntilMillis = Long.MIN_VALUE;
    private long runEndMillis = Long.MAX_VALUE;
    private boolean adopted;
    private int percent = -1;
    private long progressedAtMillis;
    private boolean advanced;
    private boolean speedRecorded;
    private long slowestPercentMillis;

    Reservation(PlacedTask task, TaskRun run, Resources resources, long startedAtMillis) {
        this.task = task;
        this.run = run;
        this.resources = resources;
        this.startedAtMillis = startedAtMillis;
    }

    /** Creates the reservation of a listed run that an earlier holder started. */
    static Reservation adopted(PlacedTask task, TaskRun run, Resources resources, long nowMillis) {
        Reservation reservation = new Reservation(task, run, resources, nowMillis);
        reservation.adopted = true;
        reservation.markListed(nowMillis);
        return reservation;
    }

    PlacedTask task() {
        return task;
    }

    /** Returns whether an earlier holder started the run, so that its start time is unknown. */
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

    /** Returns whether the run was not ordered to stop. */
    boolean shouldRun() {
        return state == State.STARTING || state == State.RUNNING;
    }

    /** Records that the endpoint reported the run as in progress. */
    void markRunning(long nowMillis) {
        seen = true;
        if (state == State.STARTING) {
            state = State.RUNNING;
            settledAtMillis = nowMillis;
        }
    }

    /** Records that a list contains the run. */
    void markListed(long nowMillis) {
        listed = true;
        endKindIfUnlisted = EndKind.LAPSED;
        markRunning(nowMillis);
    }

    /** Returns whether a list contained the run, so that it ends if that incarnation ends. */
    boolean isListed() {
        return listed;
    }

    /**
     * Records that the endpoint has restarted and its new incarnation may carry out the start order; a list or the
     * answer to a stop resolves this.
     *
     * @param kind the kind of the run's end if its start was answered and the run is not listed
     * @param untilMillis the latest expiry of the run's lease if the endpoint cannot be reached, on the steady clock
     */
    void markUncertainAfterRestart(EndKind kind, long untilMillis) {
        endKindIfUnlisted = endKindIfOver(kind);
        uncertainUntilMillis = untilMillis;
    }

    /**
     * Returns the kind of the run's end if its endpoint has ended: lapsed if the endpoint never reported the run.
     *
     * @param kind the kind of the end of a run that was in progress
     */
    EndKind endKindIfOver(EndKind kind) {
        return seen ? kind : EndKind.LAPSED;
    }

    /** Returns the kind of the run's end if the run is over and no list contains its end. */
    EndKind endKindIfUnlisted() {
        return endKindIfUnlisted;
    }

    /** Returns whether the run's lease has certainly expired, even if the endpoint cannot be reached. */
    boolean isLapsed(long leaseExpiryMillis, long nowMillis) {
        return nowMillis >= Math.max(leaseExpiryMillis, uncertainUntilMillis);
    }

    /**
     * Records the progress of the run; returns whether it has advanced since an earlier list.
     *
     * @param percentDone the completed part of the work, in percent
     * @param asOfMillis when the list was requested, on the steady clock
     */
    boolean recordProgress(int percentDone, long asOfMillis) {
        boolean isFirst = percent < 0;
        if (percentDone <= percent) {
            return false;
        }
        if (!isFirst) {
            advanced = true;
            long perPercent = (asOfMillis - progressedAtMillis) / (percentDone - percent);
            slowestPercentMillis = Math.max(slowestPercentMillis, perPercent);
        }
        percent = percentDone;
        progressedAtMillis = asOfMillis;
        return !isFirst;
    }

    /** Records that the run time was recorded in the speed of the endpoint. */
    void markSpeedRecorded() {
        speedRecorded = true;
    }

    boolean isSpeedRecorded() {
        return speedRecorded;
    }

    /** Returns whether the progress of the run has ever increased between two lists. */
    boolean hasAdvanced() {
        return advanced;
    }

    /** Returns the longest time for one percent of the run's work, in milliseconds; 0 while unknown. */
    long slowestPercentMillis() {
        return slowestPercentMillis;
    }

    /** Returns the time since the progress last increased, in milliseconds; 0 if no list contained the run yet. */
    long millisWithoutProgress(long nowMillis) {
        return percent < 0 ? 0 : nowMillis - progressedAtMillis;
    }

    /** Returns whether the endpoint ever reported the run as in progress. */
    boolean wasSeen() {
        return seen;
    }

    /** Records that the job of the run has ended here, so that other nodes may start it. */
    void markJobOver(long nowMillis) {
        runEndMillis = Math.min(runEndMillis, nowMillis + MAX_AFTER_JOB_MILLIS);
    }

    /**
     * Returns until when the run may continue, on the steady clock in milliseconds. A run whose stop was answered ends
     * in any case.
     */
    long runEndMillis() {
        return state == State.STOPPED ? Long.MAX_VALUE : runEndMillis;
    }

    void markStopping() {
        state = State.STOPPING;
        settledAtMillis = Long.MAX_VALUE;
    }

    /**
     * Records that the endpoint answered the stop.
     *
     * @param goneAtMillis when the run is over at the latest, on the steady clock
     */
    void markStopped(long goneAtMillis) {
        state = State.STOPPED;
        settledAtMillis = goneAtMillis;
    }

    /** Returns whether a list that was requested at the given time and lacks the run proves that the run is over. */
    boolean isOverIfUnlistedAt(long sentAtMillis) {
        return settledAtMillis < sentAtMillis;
    }
}
