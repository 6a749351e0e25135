package org.tarragonarch.core.action;

import org.tarragonarch.model.id.SubmissionId;

/**
 * Answer the caller with the complete results that a peer sent for the same key.
 *
 * @param submission the submission that waited
 */
public record AnswerFromPeer(SubmissionId submission) implements Action {}
