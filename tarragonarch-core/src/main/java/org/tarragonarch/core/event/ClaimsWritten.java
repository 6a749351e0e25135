package org.tarragonarch.core.event;

import com.google.common.collect.ImmutableList;

/**
 * A batch of claims was written and its reply received.
 *
 * @param batch the number of the batch
 * @param results one result for each claim of the batch
 */
public record ClaimsWritten(long batch, ImmutableList<ClaimResult> results) implements Event {}
