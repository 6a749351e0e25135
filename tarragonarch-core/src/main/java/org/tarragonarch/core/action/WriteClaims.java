package org.tarragonarch.core.action;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.Claim;

/**
 * Insert each claim if its key is absent, all in one write, and report {@code ClaimsWritten} or
 * {@code ClaimsUncertain}.
 *
 * @param batch the batch's number
 * @param claims the claims; the write of one does not hang on another's
 */
public record WriteClaims(long batch, ImmutableList<Claim> claims) implements Action {}
