package org.tarragonarch.ctl.change;

import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** It cannot be said yet whether a change was accepted. */
public final class ChangeOutcomeUnknownException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Creates an error that names the change, by which it can be found in the audit trail. */
    public ChangeOutcomeUnknownException(ChangeId change, StepException cause) {
        super(
                Step.CONFIGURE,
                cause.peer(),
                "it cannot be said yet whether change " + change + " was accepted: " + cause.getMessage(),
                cause);
    }
}
