package org.tarragonarch.core.action;

import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * Answer the caller with a problem and no results.
 *
 * @param submission the submission
 * @param problem the problem, which determines the outcome
 */
public record AnswerProblem(SubmissionId submission, Problem problem) implements Action {}
