package org.tarragonarch.core.action;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.Claim;

/**
 * Read what stands under each claim's key, and report {@code ClaimsRead} or {@code ClaimsUncertain}.
 *
 * @param batch the batch's number
 * @param claims the claims whose write had no reply
 */
public record ReadClaims(long batch, ImmutableList<Claim> claims) implements Action {}
