package org.tarragonarch.core.admission;

import org.tarragonarch.core.submission.Submission;

/**
 * The submission is admitted.
 *
 * @param submission the submission with the definitions of its service, kind and team
 */
public record Admitted(Submission submission) implements AdmissionDecision {}
