package org.tarragonarch.core.action;

import java.time.Duration;

/**
 * Delete in bulk the claims that were inserted longer ago than this.
 *
 * <p>Best effort: nothing is reported back, and sweeping twice does no harm.
 *
 * @param olderThan the age from which claims are deleted
 */
public record SweepClaims(Duration olderThan) implements Action {}
