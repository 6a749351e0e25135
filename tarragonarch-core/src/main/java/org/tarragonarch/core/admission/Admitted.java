package org.tarragonarch.core.admission;

import org.tarragonarch.core.submission.Submission;

/**
 * The submission is taken.
 *
 * @param submission the submission with the definitions that hold for it
 */
public record Admitted(Submission submission) implements AdmissionDecision {}
