package org.tarragonarch.core.action;

import org.tarragonarch.model.id.SubmissionId;

/**
 * Answer the caller with the results of all tasks.
 *
 * @param submission the submission
 */
public record AnswerComplete(SubmissionId submission) implements Action {}
