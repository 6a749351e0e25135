package org.tarragonarch.ctl.change;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Another operator's change was accepted first, so this one was not. */
public final class ChangeConflictException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Creates an error whose message names the change that won. */
    public ChangeConflictException(String peer, String message) {
        super(Step.CONFIGURE, peer, message);
    }
}
