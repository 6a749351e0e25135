package org.tarragonarch.core.action;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.Claim;

/**
 * Read the claim stored under each claim's key, and report {@code ClaimsRead} or {@code ClaimsUncertain}.
 *
 * @param batch the number of the batch
 * @param claims the claims whose write received no reply
 */
public record ReadClaims(long batch, ImmutableList<Claim> claims) implements Action {}
