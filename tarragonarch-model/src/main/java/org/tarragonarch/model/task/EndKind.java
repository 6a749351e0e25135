package org.tarragonarch.model.task;

/** How a run ended. */
public enum EndKind {
    /** It did its work. */
    DONE(false, true),
    /** It failed, by its own fault or the endpoint's. */
    FAILED(true, true),
    /** It was stopped by an order. */
    STOPPED(false, false),
    /** The endpoint's lease ran out under it. */
    LAPSED(false, false),
    /** The endpoint that ran it has crashed and restarted. */
    CRASHED(false, false),
    /** Another member of its group ended, or it waited too long for the others. */
    GROUP_BROKEN(false, false);

    private final boolean countsAsAttempt;
    private final boolean ranToEnd;

    EndKind(boolean countsAsAttempt, boolean ownEnd) {
        this.countsAsAttempt = countsAsAttempt;
        this.ranToEnd = ownEnd;
    }

    /** Returns whether the end uses up one of the task's attempts. */
    public boolean countsAsAttempt() {
        return countsAsAttempt;
    }

    /** Returns whether the work itself came to an end, rather than being taken away. */
    public boolean ranToEnd() {
        return ranToEnd;
    }
}
