package org.tarragonarch.core.event;

import org.tarragonarch.model.id.SubmissionId;

/**
 * A submission is cancelled; its tasks that have not started must not start.
 *
 * @param submission the submission; ignored if it has already ended
 * @param cause why it is cancelled
 */
public record CancelRequested(SubmissionId submission, CancelCause cause) implements Event {}
