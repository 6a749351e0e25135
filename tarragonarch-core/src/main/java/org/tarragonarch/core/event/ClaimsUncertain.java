package org.tarragonarch.core.event;

/**
 * The reply to a write or read of claims did not come, or said that the table service is out.
 *
 * @param batch the batch's number
 * @param mayHaveApplied whether the write may have taken effect all the same
 * @param detail a sentence for a person
 */
public record ClaimsUncertain(long batch, boolean mayHaveApplied, String detail) implements Event {}
