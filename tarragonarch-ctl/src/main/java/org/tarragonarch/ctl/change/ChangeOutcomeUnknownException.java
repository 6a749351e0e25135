package org.tarragonarch.ctl.change;

import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when it is unknown whether a change was accepted. */
public final class ChangeOutcomeUnknownException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the change id, to look up in the audit trail. */
    public ChangeOutcomeUnknownException(ChangeId change, StepException cause) {
        super(
                Step.CONFIGURE,
                cause.peer(),
                "it is unknown whether change " + change + " was accepted: " + cause.getMessage(),
                cause);
    }
}
