package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when a request of an operator is refused or fails. */
final class AdminException extends StepException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final transient ObjectNode json;

    AdminException(AdminProblem problem) {
        this(problem, problem.json());
    }

    /** Creates an exception whose answer has fields beyond those of the problem. */
    AdminException(AdminProblem problem, ObjectNode json) {
        super(problem.step(), problem.peer(), problem.detail());
        this.status = problem.status();
        this.json = json;
    }

    int status() {
        return status;
    }

    ObjectNode json() {
        return json;
    }
}
