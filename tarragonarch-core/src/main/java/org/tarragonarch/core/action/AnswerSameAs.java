package org.tarragonarch.core.action;

import org.tarragonarch.model.id.SubmissionId;

/**
 * Answer the caller with the complete results of another submission of this node under the same key.
 *
 * @param submission the later submission
 * @param original the submission that ran
 */
public record AnswerSameAs(SubmissionId submission, SubmissionId original) implements Action {}
