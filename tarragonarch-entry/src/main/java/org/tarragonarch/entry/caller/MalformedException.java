package org.tarragonarch.entry.caller;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** A caller's message could not be read. */
final class MalformedException extends StepException {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
        super(Step.READ, "caller", message);
    }
}
