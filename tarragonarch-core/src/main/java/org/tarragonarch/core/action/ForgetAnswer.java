package org.tarragonarch.core.action;

import org.tarragonarch.model.id.SubmissionId;

/**
 * Discard all bodies kept for a submission.
 *
 * <p>The shell keeps the results of a submission answered with {@link AnswerComplete} until this action if the
 * submission had a key, and may discard them at once otherwise.
 *
 * @param submission the submission
 */
public record ForgetAnswer(SubmissionId submission) implements Action {}
