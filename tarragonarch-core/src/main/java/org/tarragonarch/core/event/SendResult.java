package org.tarragonarch.core.event;

/** The result of sending one task, as far as the shell knows it for certain. */
public enum SendResult {
    /** A complete answer for this task arrived and reports success. */
    SUCCEEDED(Started.YES),
    /** A complete answer for this task arrived and reports that the task ran and failed. */
    TASK_FAILED(Started.YES),
    /** The endpoint did not start the task because all its slots are in use. */
    REFUSED_BUSY(Started.NO),
    /** The endpoint did not start the task because it is leaving. */
    REFUSED_DRAINING(Started.NO),
    /** The connection failed, so no byte of the task was sent. */
    CONNECT_FAILED(Started.NO),
    /** Bytes were sent, but no complete, matching answer was received. */
    LOST(Started.MAYBE);

    private final Started started;

    SendResult(Started started) {
        this.started = started;
    }

    /** Returns whether the task started at the endpoint. */
    public Started started() {
        return started;
    }

    /** Returns whether the endpoint answered, which shows that it is alive. */
    public boolean endpointAnswered() {
        return this != CONNECT_FAILED && this != LOST;
    }

    /** Whether a task started at an endpoint. */
    public enum Started {
        /** It started. */
        YES,
        /** It did not start, so it may be sent elsewhere. */
        NO,
        /** It is unknown whether it started. */
        MAYBE
    }
}
