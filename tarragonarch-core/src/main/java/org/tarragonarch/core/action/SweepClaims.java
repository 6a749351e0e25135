package org.tarragonarch.core.action;

import java.time.Duration;

/**
 * Delete all claims older than the given age.
 *
 * <p>Best effort and idempotent; no event is reported.
 *
 * @param olderThan the age from which claims are deleted
 */
public record SweepClaims(Duration olderThan) implements Action {}
