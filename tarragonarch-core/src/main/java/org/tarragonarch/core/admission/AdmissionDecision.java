package org.tarragonarch.core.admission;

/** The decision whether a submission is admitted. */
public sealed interface AdmissionDecision permits Admitted, Refused {}
