package org.tarragonarch.model.task;

/** The answer of a holder to an offered job. */
public enum Verdict {
    /** All tasks succeeded. */
    DONE,
    /** As many runs of a task have failed as its queue allows. */
    FAILED,
    /** The job was not accepted; no task was started, and none will be. */
    DECLINED,
    /**
     * The job was given up because it would be answered too late, or because a task is not started again whose runs
     * were lost with their endpoints; its runs are stopped.
     */
    TOO_LATE,
    /** The holder releases the shard; runs in progress are left to the next holder, or until their lease expires. */
    HOLD_LOST,
    /** The holder releases the shard and has started no task of the job. */
    RETURNED,
    /** The job was returned because no endpoint of the holder may run the rest of it; its runs have been stopped. */
    EVICTED,
    /**
     * The job was not accepted because it could not start at once, as the terms of the offer require; no task was
     * started. It may be offered to the same holder again under other terms.
     */
    NOT_AT_ONCE;

    /**
     * Returns the verdict to give in place of this one if the offer was received before, so that tasks of the job may
     * have been started and stopped.
     *
     * <p>Guards against an origin that tells its client that a job has not run although tasks of it have.
     */
    public Verdict afterPossibleStart() {
        return switch (this) {
            case DECLINED, NOT_AT_ONCE -> EVICTED;
            case RETURNED -> HOLD_LOST;
            case DONE, FAILED, TOO_LATE, HOLD_LOST, EVICTED -> this;
        };
    }
}
