package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times by which a holder works with its endpoints, all in milliseconds.
 *
 * @param lease how long what runs on an endpoint goes on without a renewal; the longest that endpoints allow
 * @param holdWait how long an endpoint may keep a look waiting for an end; a third of the lease, so that two looks may
 *     be lost before anything lapses
 * @param stopTime the longest that a stop takes on an endpoint
 */
public record PlacingSettings(long lease, long holdWait, long stopTime) {
    /** Endpoints' clocks may run slow by two parts in a hundred. */
    private static final double SLOWEST_CLOCK = 1.02;

    /** Covers the way of an order and rounding. */
    private static final long CERTAINTY_MARGIN_MILLIS = 30;

    /** How many looks fit into a lease. */
    private static final int LOOKS_PER_LEASE = 3;

    /** Checks that every time is positive. */
    public PlacingSettings {
        checkArgument(lease > 0, "lease %s is not positive", lease);
        checkArgument(holdWait > 0 && holdWait < lease, "holdWait %s is not within the lease", holdWait);
        checkArgument(stopTime > 0, "stopTime %s is not positive", stopTime);
    }

    /** Returns the settings for endpoints that allow this lease and take this long to stop a run. */
    public static PlacingSettings of(long lease, long stopTime) {
        return new PlacingSettings(lease, lease / LOOKS_PER_LEASE, stopTime);
    }

    /** Returns how long after an order was sent everything that it extended has certainly ended, if nothing follows. */
    public long certainLapse() {
        return Math.round(lease * SLOWEST_CLOCK) + CERTAINTY_MARGIN_MILLIS;
    }
}
