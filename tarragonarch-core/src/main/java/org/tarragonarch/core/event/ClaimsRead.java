package org.tarragonarch.core.event;

import com.google.common.collect.ImmutableList;

/**
 * The rows of a batch whose reply was lost were read back.
 *
 * @param batch the batch's number
 * @param results one result for each claim of the batch
 */
public record ClaimsRead(long batch, ImmutableList<ClaimResult> results) implements Event {}
