package org.tarragonarch.entry.caller;

import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when a caller's message is refused before it is handed to the core. */
final class RefusedException extends StepException {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    RefusedException(Problem problem) {
        super(problem.step(), problem.peer(), problem.detail());
        this.problem = problem;
    }

    Problem problem() {
        return problem;
    }
}
