package org.tarragonarch.model.task;

/** How a run ended. */
public enum EndKind {
    /** The run completed its work. */
    DONE(false, true),
    /** The run failed, by a fault of its own or of the endpoint. */
    FAILED(true, true),
    /** The run was stopped by an order. */
    STOPPED(false, false),
    /** The endpoint's lease expired during the run. */
    LAPSED(false, false),
    /** The endpoint crashed and restarted during the run. */
    CRASHED(false, false),
    /** Another run of its group ended, or the run waited too long for the others. */
    GROUP_BROKEN(false, false);

    private final boolean countsAsAttempt;
    private final boolean ranToEnd;

    EndKind(boolean countsAsAttempt, boolean ranToEnd) {
        this.countsAsAttempt = countsAsAttempt;
        this.ranToEnd = ranToEnd;
    }

    /** Returns whether this end counts as one of the task's attempts. */
    public boolean countsAsAttempt() {
        return countsAsAttempt;
    }

    /** Returns whether the work itself completed or failed, rather than being ended from outside. */
    public boolean ranToEnd() {
        return ranToEnd;
    }
}
