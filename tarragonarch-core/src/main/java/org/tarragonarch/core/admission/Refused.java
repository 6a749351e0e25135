package org.tarragonarch.core.admission;

import org.tarragonarch.model.outcome.Problem;

/**
 * The submission is not taken, and nothing of it will run.
 *
 * @param problem why, with a time to come back where that may help
 */
public record Refused(Problem problem) implements AdmissionDecision {}
