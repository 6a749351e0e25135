package org.tarragonarch.core.event;

import com.google.common.collect.ImmutableList;

/**
 * The claims of a batch whose write reply was lost have been read back.
 *
 * @param batch the number of the batch
 * @param results one result for each claim of the batch
 */
public record ClaimsRead(long batch, ImmutableList<ClaimResult> results) implements Event {}
