package org.tarragonarch.core.event;

/**
 * A write or read of claims received no reply, or a reply that the table service is unavailable.
 *
 * @param batch the number of the batch
 * @param mayHaveApplied whether the write may nevertheless have taken effect
 * @param detail a human-readable description
 */
public record ClaimsUncertain(long batch, boolean mayHaveApplied, String detail) implements Event {}
