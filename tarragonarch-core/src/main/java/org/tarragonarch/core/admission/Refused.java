package org.tarragonarch.core.admission;

import org.tarragonarch.model.outcome.Problem;

/**
 * The submission is refused, and none of its tasks will run.
 *
 * @param problem the reason, with a retry time where a retry may succeed
 */
public record Refused(Problem problem) implements AdmissionDecision {}
