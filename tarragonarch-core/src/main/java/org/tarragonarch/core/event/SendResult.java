package org.tarragonarch.core.event;

/** What the shell can say for certain of one task that it was asked to send. */
public enum SendResult {
    /** The whole answer came, for this task, and says that the task succeeded. */
    SUCCEEDED(Started.YES),
    /** The whole answer came and says that the task ran and failed. */
    TASK_FAILED(Started.YES),
    /** The endpoint says that it did not start the task because all its slots are in use. */
    REFUSED_BUSY(Started.NO),
    /** The endpoint says that it did not start the task because it is leaving. */
    REFUSED_DRAINING(Started.NO),
    /** No connection came about, so no byte of the task left. */
    CONNECT_FAILED(Started.NO),
    /** Bytes left and no whole, matching answer came back. */
    LOST(Started.MAYBE);

    private final Started started;

    SendResult(Started started) {
        this.started = started;
    }

    /** Returns whether the task started at the endpoint. */
    public Started started() {
        return started;
    }

    /** Returns whether the endpoint answered at all, and so is alive. */
    public boolean endpointAnswered() {
        return this != CONNECT_FAILED && this != LOST;
    }

    /** Whether a task started. */
    public enum Started {
        /** It certainly did. */
        YES,
        /** It certainly did not, so it may be sent elsewhere. */
        NO,
        /** Nobody here can tell. */
        MAYBE
    }
}
