package org.tarragonarch.core.endpoint;

import java.time.Duration;

/** Thresholds and intervals of the endpoint health checks; {@code docs/design/endpoint-health.md} has the reasons. */
final class HealthPolicy {
    /** The assumed failure rate of a broken endpoint. */
    static final double BROKEN_FAILURE_RATE = 0.9;
    /** The assumed minimum failure rate of a healthy endpoint, so that two failures alone cause no quarantine. */
    static final double MIN_FAILURE_RATE = 0.02;
    /** The number of prior tasks, failing at the minimum rate, that each kind is assumed to have had. */
    static final double PRIOR_TASKS = 10;
    /** The number of recent tasks over which the failure rate of a kind is averaged. */
    static final double TALLY_WINDOW_TASKS = 200;
    /** The log likelihood ratio from which an endpoint counts as broken: odds of 10,000 to 1. */
    static final double QUARANTINE_THRESHOLD = Math.log(10_000);
    /** The threshold for an endpoint of another failure domain, which this node can do without: odds of 1,000 to 1. */
    static final double QUARANTINE_THRESHOLD_ELSEWHERE = Math.log(1_000);
    /** The threshold for an endpoint on trial after quarantine: odds of 10 to 1. */
    static final double QUARANTINE_THRESHOLD_ON_TRIAL = Math.log(10);
    /** The score from which an endpoint gets one task at a time. */
    static final double SUSPICION_THRESHOLD = 0.6 * QUARANTINE_THRESHOLD;
    /** At most one in this many endpoints of a service and failure domain may be quarantined, but at least one may. */
    static final int ENDPOINTS_PER_QUARANTINE = 3;

    /** The first wait before a quarantined endpoint is probed; each later one is longer by the growth factor. */
    static final long INITIAL_QUARANTINE_NANOS = Duration.ofSeconds(30).toNanos();

    static final long QUARANTINE_GROWTH = 4;
    /** The factor on the wait of an endpoint of another failure domain, whose own nodes try it first. */
    static final long QUARANTINE_FACTOR_ELSEWHERE = 4;

    static final long MAX_QUARANTINE_NANOS = Duration.ofMinutes(15).toNanos();
    /** How long after a passed trial earlier quarantines no longer lengthen the next one. */
    static final long QUARANTINE_RESET_NANOS = Duration.ofMinutes(10).toNanos();
    /** How many tasks must succeed, one at a time, before a trial is passed. */
    static final int TRIAL_TASKS = 3;
    /** How long a node waits for a peer that also quarantines an endpoint to try it first. */
    static final long PEER_TRIAL_WAIT_NANOS = Duration.ofSeconds(5).toNanos();

    static final long INITIAL_UNREACHABLE_NANOS = Duration.ofMillis(500).toNanos();
    /** A wait for a probe is extended by a random part of up to 1/5, so that nodes do not probe at the same time. */
    static final long JITTER_DIVISOR = 5;

    static final long UNREACHABLE_GROWTH = 2;
    static final long MAX_UNREACHABLE_NANOS = Duration.ofSeconds(10).toNanos();
    /** How many consecutive failed connections to a failure domain make it count as cut off. */
    static final int UNREACHABLE_WHEN_CUT_OFF = 2;

    /** How often a leaving endpoint is probed while the VM list still shows it as live. */
    static final long LEAVING_PROBE_NANOS = Duration.ofSeconds(15).toNanos();
    /** How long a probe may remain unanswered before it is repeated. */
    static final long PROBE_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    /** The first wait before a refusal decays by one slot; it doubles with each refusal up to the maximum. */
    static final long INITIAL_BUSY_NANOS = Duration.ofMillis(40).toNanos();

    static final long MAX_BUSY_NANOS = Duration.ofMillis(320).toNanos();

    /** A VM list is doubtful if at least this many, and more than half, of the endpoints of a domain are missing. */
    static final int MISSING_WHEN_DOUBTFUL = 2;
    /** How long an endpoint may be unreachable before it is removed even when a doubtful list lacks it. */
    static final long MAX_UNREACHABLE_KEPT_NANOS = Duration.ofMinutes(10).toNanos();
    /** How long the last report of a peer remains valid. */
    static final long PEER_REPORT_VALID_NANOS = Duration.ofSeconds(10).toNanos();

    private HealthPolicy() {}
}
