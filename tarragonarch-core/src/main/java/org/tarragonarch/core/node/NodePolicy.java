package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.core.placement.PlacementStrategy;

/**
 * The times and bounds that a node works by; every one has a default that suits the sizes of the brief.
 *
 * @param vmListInterval how often the platform's list of VMs is read
 * @param configurationInterval how often the configuration row is read
 * @param reportInterval how often peers get a report while work goes on
 * @param peerSilence how long a peer of the own failure domain may be silent before it counts as gone; one of another
 *     domain may be so three times as long
 * @param claimTimeout how long a submission waits for its key to be claimed
 * @param keptAnswer how long the answer of a keyed submission is kept for a second one
 * @param maxKeptAnswers the most answers kept
 * @param drainDelay how long a leaving node still takes work, while the balancer learns of it
 * @param drainDeadline how long a leaving node works at what it has before it cuts the rest
 * @param placement how endpoints are chosen; the others than the default are for comparison
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
    /** The policy that a node has when its settings name no other. */
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

    /** Checks that every time is positive. */
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
