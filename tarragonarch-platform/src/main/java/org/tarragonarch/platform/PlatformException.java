package org.tarragonarch.platform;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when a call to the platform has no usable result. */
public final class PlatformException extends StepException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveApplied;

    /**
     * Creates an exception.
     *
     * @param peer the part of the platform that was called
     * @param message a description for operators
     * @param mayHaveApplied whether the call is a write that may have taken effect
     * @param cause the cause, or null if there is none
     */
    public PlatformException(String peer, String message, boolean mayHaveApplied, Throwable cause) {
        super(Step.PLATFORM, peer, message, cause);
        this.mayHaveApplied = mayHaveApplied;
    }

    /** Returns whether the call may have taken effect although it failed; false for reads and for writes never sent. */
    public boolean mayHaveApplied() {
        return mayHaveApplied;
    }
}
