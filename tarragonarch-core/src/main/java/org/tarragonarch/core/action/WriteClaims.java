package org.tarragonarch.core.action;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.Claim;

/**
 * Insert each claim if its key is absent, all in one write, and report {@code ClaimsWritten} or
 * {@code ClaimsUncertain}.
 *
 * @param batch the number of the batch
 * @param claims the claims; each is inserted independently of the others
 */
public record WriteClaims(long batch, ImmutableList<Claim> claims) implements Action {}
