package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.core.placement.PlacementStrategy;

/**
 * The intervals, timeouts and limits of a node, and its placement strategy.
 *
 * @param vmListInterval the interval between reads of the platform's list of VMs
 * @param configurationInterval the interval between reads of the configuration row
 * @param reportInterval the interval between reports to peers while tasks are running
 * @param peerSilence how long a peer of this failure domain may be silent before it counts as gone; for a peer of
 *     another domain, the time is three times as long
 * @param claimTimeout how long a submission waits for the claim on its idempotency key
 * @param keptAnswer how long the answer of a submission is kept for later submissions with the same idempotency key
 * @param maxKeptAnswers the maximum number of answers kept
 * @param drainDelay how long a leaving node still accepts work, until the load balancer has noticed that it is leaving
 * @param drainDeadline how long a leaving node may take to finish its open submissions before it ends them
 * @param placement the strategy for choosing endpoints; strategies other than the default are for comparison
 */
public record NodePolicy(
        Duration vmListInterval,
        Duration configurationInterval,
        Duration reportInterval,
        Duration peerSilence,
        Duration claimTimeout,
        Duration keptAnswer,
        int maxKeptAnswers,
        Duration drainDelay,
        Duration drainDeadline,
        PlacementStrategy placement) {
    /** The policy of a node whose settings specify no other values. */
    public static final NodePolicy DEFAULT = new NodePolicy(
            Duration.ofSeconds(2),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(2),
            Duration.ofMinutes(5),
            10_000,
            Duration.ofSeconds(3),
            Duration.ofSeconds(30),
            PlacementStrategy.SLOT_SHARES);

    /**
     * Creates a policy.
     *
     * @throws IllegalArgumentException if {@code drainDelay} or {@code maxKeptAnswers} is negative or another time is
     *     not positive
     */
    public NodePolicy {
        checkPositive("vm-list-interval", vmListInterval);
        checkPositive("configuration-interval", configurationInterval);
        checkPositive("report-interval", reportInterval);
        checkPositive("peer-silence", peerSilence);
        checkPositive("claim-timeout", claimTimeout);
        checkPositive("kept-answer", keptAnswer);
        checkArgument(maxKeptAnswers >= 0, "max-kept-answers %s is negative", maxKeptAnswers);
        checkArgument(!drainDelay.isNegative(), "drain-delay is negative");
        checkPositive("drain-deadline", drainDeadline);
        checkNotNull(placement, "placement");
    }

    private static void checkPositive(String name, Duration duration) {
        checkArgument(!duration.isNegative() && !duration.isZero(), "%s is not positive", name);
    }
}
