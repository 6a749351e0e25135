package org.tarragonarch.platform;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** A call to the platform had no usable result. */
public final class PlatformException extends StepException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveApplied;

    /**
     * Creates an error.
     *
     * @param peer the part of the platform that was called
     * @param message a sentence for a person
     * @param mayHaveApplied whether a write may have taken effect although no reply says so
     * @param cause the underlying error; may be null
     */
    public PlatformException(String peer, String message, boolean mayHaveApplied, Throwable cause) {
        super(Step.PLATFORM, peer, message, cause);
        this.mayHaveApplied = mayHaveApplied;
    }

    /** Returns whether the write may have taken effect all the same; false for reads and for writes never sent. */
    public boolean mayHaveApplied() {
        return mayHaveApplied;
    }
}
