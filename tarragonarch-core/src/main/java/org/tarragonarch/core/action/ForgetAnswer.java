package org.tarragonarch.core.action;

import org.tarragonarch.model.id.SubmissionId;

/**
 * Drop every body kept for a submission.
 *
 * <p>Results of a submission that was answered {@code AnswerComplete} are kept until this comes if it had a key, and
 * may be dropped at once otherwise.
 *
 * @param submission the submission
 */
public record ForgetAnswer(SubmissionId submission) implements Action {}
