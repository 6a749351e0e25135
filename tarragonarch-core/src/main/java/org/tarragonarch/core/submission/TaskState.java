package org.tarragonarch.core.submission;

/** The states that a task passes through; only a queued task may be sent. */
public enum TaskState {
    /** Nothing of the task has left this node, or an endpoint said that it did not start it. */
    QUEUED(false, false),
    /** A byte of the task may have left this node. */
    SENT(true, false),
    /** The whole answer came and says that the task succeeded. */
    SUCCEEDED(true, true),
    /** The whole answer came and says that the task failed. */
    FAILED(true, true),
    /** Bytes left and no whole answer came; the task may have run. */
    LOST(true, true),
    /** The submission ended before the task was sent. */
    DROPPED(false, true);

    private final boolean mayHaveRun;
    private final boolean isFinal;

    TaskState(boolean mayHaveRun, boolean ended) {
        this.mayHaveRun = mayHaveRun;
        this.isFinal = ended;
    }

    /** Returns whether the task may have run, so that its submission can no longer be called not-run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the task stays in this state. */
    public boolean isFinal() {
        return isFinal;
    }
}
