package org.tarragonarch.core.submission;

/** The states of a task; only a queued task may be sent. */
public enum TaskState {
    /** The task was not sent, or its latest attempt was not started, or it waits for a retry after a lost attempt. */
    QUEUED(false, false),
    /** Bytes of the task may have been sent to an endpoint. */
    SENT(true, false),
    /** A complete answer was received: the task succeeded. */
    SUCCEEDED(true, true),
    /** A complete answer was received: the task failed. */
    FAILED(true, true),
    /** The task was sent and no complete answer was received; it may have run. */
    LOST(true, true),
    /** The submission ended before the task was sent. */
    DROPPED(false, true);

    private final boolean mayHaveRun;
    private final boolean isFinal;

    TaskState(boolean mayHaveRun, boolean ended) {
        this.mayHaveRun = mayHaveRun;
        this.isFinal = ended;
    }

    /** Returns whether a task in this state may have run, so that its submission must not be answered as not-run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether a task never leaves this state. */
    public boolean isFinal() {
        return isFinal;
    }
}
