package org.tarragonarch.core.event;

import org.tarragonarch.model.id.SubmissionId;

/**
 * A submission is no longer wanted; what has not started must not start.
 *
 * @param submission the submission; one that has ended already is passed over
 * @param cause why
 */
public record CancelRequested(SubmissionId submission, CancelCause cause) implements Event {}
