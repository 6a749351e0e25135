package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.share.SharePlan;

/**
 * How a holder works with its endpoints; all times are in milliseconds.
 *
 * @param lease how long what runs on an endpoint goes on without a renewal; the longest that endpoints allow
 * @param pollWait how long an endpoint may keep a poll waiting for an end; a tenth of the lease, since the ends that a
 *     lost poll would have listed are seen only after this and {@code answerTime}
 * @param maxStopTime the longest that a stop takes on an endpoint
 * @param answerTimeout how long the answer to an order may take before it counts as lost
 * @param shares how capacity is divided among priorities
 */
public record PlacingSettings(long lease, long pollWait, long maxStopTime, long answerTimeout, SharePlan shares) {
    /** Endpoints' clocks may run slow by two parts in a hundred. */
    private static final double SLOWEST_CLOCK = 1.02;

    /** Covers the way of an order and rounding. */
    private static final long CERTAINTY_MARGIN_MILLIS = 30;

    /** How many polls fit into a lease. */
    private static final int LOOKS_PER_LEASE = 10;

    /**
     * Endpoints answer within a few milliseconds, and a node that is slowed down sees it within some tens. What is
     * taken for lost too early costs one more poll; too late, a short task is late for it.
     */
    private static final long ANSWER_MILLIS = 50;

    /** Checks that every time is positive. */
    public PlacingSettings {
        checkArgument(lease > 0, "lease %s is not positive", lease);
        checkArgument(pollWait > 0 && pollWait < lease, "holdWait %s is not within the lease", pollWait);
        checkArgument(answerTimeout > 0, "answerTime %s is not positive", answerTimeout);
        checkArgument(maxStopTime > 0, "stopTime %s is not positive", maxStopTime);
        checkNotNull(shares, "shares");
    }

    /** Returns the same settings with another division of capacity. */
    public PlacingSettings withShares(SharePlan plan) {
        return new PlacingSettings(lease, pollWait, maxStopTime, answerTimeout, plan);
    }

    /** Returns the settings for endpoints that allow this lease and take this long to stop a run. */
    public static PlacingSettings of(long lease, long stopTime) {
        return new PlacingSettings(lease, lease / LOOKS_PER_LEASE, stopTime, ANSWER_MILLIS, SharePlan.NONE);
    }

    /** Returns how long after an order was sent everything that it extended has certainly ended, if nothing follows. */
    public long certainExpiryMillis() {
        return Math.round(lease * SLOWEST_CLOCK) + CERTAINTY_MARGIN_MILLIS;
    }
}
