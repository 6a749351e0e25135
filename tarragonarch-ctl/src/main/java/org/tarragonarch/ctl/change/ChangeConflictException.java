package org.tarragonarch.ctl.change;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when a change is not accepted because another one was accepted first. */
public final class ChangeConflictException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; the message describes the conflict. */
    public ChangeConflictException(String peer, String message) {
        super(Step.CONFIGURE, peer, message);
    }
}
