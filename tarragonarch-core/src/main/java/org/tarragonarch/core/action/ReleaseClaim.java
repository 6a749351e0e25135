package org.tarragonarch.core.action;

import org.tarragonarch.model.platform.Claim;

/**
 * Delete a claim if it still carries this token, so that the caller may send the submission again.
 *
 * <p>Best effort: nothing is reported back.
 *
 * @param claim the claim of a submission that did not run
 */
public record ReleaseClaim(Claim claim) implements Action {}
