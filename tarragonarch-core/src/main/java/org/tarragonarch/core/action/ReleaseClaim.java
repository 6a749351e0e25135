package org.tarragonarch.core.action;

import org.tarragonarch.model.platform.Claim;

/**
 * Delete a claim if its stored token is unchanged, so that the caller may submit again under the same key.
 *
 * <p>Best effort; no event is reported.
 *
 * @param claim the claim of a submission that did not run
 */
public record ReleaseClaim(Claim claim) implements Action {}
