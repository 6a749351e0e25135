package org.tarragonarch.entry.caller;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when a caller's message is malformed. */
final class MalformedException extends StepException {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
        super(Step.READ, "caller", message);
    }
}
