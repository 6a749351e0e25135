package org.tarragonarch.model.outcome;

import static com.google.common.base.Preconditions.checkNotNull;

/** An exception that carries the step and the peer at which the error arose. */
public class StepException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step step;
    private final String peer;

    /** Creates an exception without a cause. */
    public StepException(Step step, String peer, String message) {
        this(step, peer, message, null);
    }

    /** Creates an exception; the cause may be null. */
    public StepException(Step step, String peer, String message, Throwable cause) {
        super(message, cause);
        this.step = checkNotNull(step, "step");
        this.peer = checkNotNull(peer, "peer");
    }

    /** Returns the step at which the error arose. */
    public Step step() {
        return step;
    }

    /** Returns the peer with which the error arose. */
    public String peer() {
        return peer;
    }
}
