package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.share.SharePlan;

/**
 * The settings of a holder for its endpoints; all times are in milliseconds.
 *
 * @param lease the time for which a run continues without a renewal; the maximum that endpoints allow
 * @param pollWait the maximum time for which an endpoint delays the answer to a poll until a run ends; a tenth of the
 *     lease, since the ends that a lost poll would have listed are seen only after this and {@code answerTimeout}
 * @param maxStopTime the maximum time that an endpoint takes to stop a run
 * @param answerTimeout the time after which the answer to an order counts as lost
 * @param shares the division of capacity among priorities
 */
public record PlacingSettings(long lease, long pollWait, long maxStopTime, long answerTimeout, SharePlan shares) {
    /** Covers the transmission of an order and rounding. */
    private static final long CERTAINTY_MARGIN_MILLIS = 30;

    /**
     * An idle endpoint's clock is read once in this number of leases. The assumed slowness shortens the first lease
     * after an idle time by a fifth at most.
     */
    private static final int LEASES_PER_CLOCK_READING = 10;

    /** The number of polls during a lease. */
    private static final int POLLS_PER_LEASE = 10;

    /**
     * Endpoints answer within a few milliseconds; a slow node sees the answer within a few tens of milliseconds. A
     * timeout that is too short costs one more poll; one that is too long makes short tasks late.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 50;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a time is not positive or {@code pollWait} is not below the lease
     */
    public PlacingSettings {
        checkArgument(lease > 0, "lease %s is not positive", lease);
        checkArgument(pollWait > 0 && pollWait < lease, "pollWait %s is not positive and below the lease", pollWait);
        checkArgument(answerTimeout > 0, "answerTimeout %s is not positive", answerTimeout);
        checkArgument(maxStopTime > 0, "maxStopTime %s is not positive", maxStopTime);
        checkNotNull(shares, "shares");
    }

    /** Returns these settings with another division of capacity. */
    public PlacingSettings withShares(SharePlan plan) {
        return new PlacingSettings(lease, pollWait, maxStopTime, answerTimeout, plan);
    }

    /** Returns the settings for endpoints with this lease and this maximum time to stop a run. */
    public static PlacingSettings of(long lease, long stopTime) {
        return new PlacingSettings(lease, lease / POLLS_PER_LEASE, stopTime, ANSWER_TIMEOUT_MILLIS, SharePlan.NONE);
    }

    /**
     * Returns the time after the sending of an order at which every lease that it renewed has certainly expired, unless
     * another order renews it.
     */
    public long leaseExpiry() {
        return Math.round(lease / EndpointClock.SLOWEST_RATE) + CERTAINTY_MARGIN_MILLIS;
    }

    /** Returns the age at which the last reading of an idle endpoint's clock is replaced by a new one. */
    long maxClockAge() {
        return lease * LEASES_PER_CLOCK_READING;
    }
}
