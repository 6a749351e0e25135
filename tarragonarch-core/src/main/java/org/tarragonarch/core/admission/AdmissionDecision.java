package org.tarragonarch.core.admission;

/** Whether a submission is taken. */
public sealed interface AdmissionDecision permits Admitted, Refused {}
