package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tarragonarch.model.outcome.StepException;

/** An operator's call is not carried out. */
final class AdminException extends StepException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final transient ObjectNode json;

    AdminException(AdminProblem problem) {
        this(problem, problem.json());
    }

    /** Creates an error whose answer says more than the problem itself. */
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
