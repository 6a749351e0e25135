package org.tarragonarch.core.endpoint;

import java.time.Duration;

/** The bounds by which endpoints are judged; {@code docs/design/endpoint-health.md} gives the reasons. */
final class HealthPolicy {
    /** The part of its tasks that a broken endpoint is taken to fail. */
    static final double BROKEN_FAILURE_RATE = 0.9;
    /** The least failure rate that a healthy endpoint is taken to have, so that two failures alone convict nobody. */
    static final double MIN_FAILURE_RATE = 0.02;
    /** How many tasks without a failure a kind is taken to have had before its first one. */
    static final double PRIOR_TASKS = 10;
    /** How many tasks back a kind's failure rate reaches. */
    static final double TALLY_WINDOW_TASKS = 200;
    /** The logarithm of the likelihood ratio at which an endpoint is taken for broken: odds of ten thousand to one. */
    static final double QUARANTINE_THRESHOLD = Math.log(10_000);
    /** The same for an endpoint of another failure domain, which this node can do without: one thousand to one. */
    static final double QUARANTINE_THRESHOLD_ELSEWHERE = Math.log(1_000);
    /** The same for an endpoint that was broken before. */
    static final double QUARANTINE_THRESHOLD_ON_TRIAL = Math.log(10);
    /** The part of a conviction from which an endpoint gets one task at a time. */
    static final double SUSPICION_THRESHOLD = 0.6 * QUARANTINE_THRESHOLD;
    /** At most one of so many endpoints of a service and failure domain is in quarantine. */
    static final int ENDPOINTS_PER_QUARANTINE = 3;

    /** The first wait of a convicted endpoint before it is probed; each next one is longer by the growth. */
    static final long INITIAL_QUARANTINE_NANOS = Duration.ofSeconds(30).toNanos();

    static final long QUARANTINE_GROWTH = 4;
    /** How many times as long an endpoint of another failure domain waits, whose own nodes try it first. */
    static final long QUARANTINE_FACTOR_ELSEWHERE = 4;

    static final long MAX_QUARANTINE_NANOS = Duration.ofMinutes(15).toNanos();
    /** How long an endpoint works well before its earlier convictions are forgotten. */
    static final long QUARANTINE_RESET_NANOS = Duration.ofMinutes(10).toNanos();
    /** How many tasks, one at a time, a convicted endpoint must do before it is trusted again. */
    static final int TRIAL_TASKS = 3;
    /** How long a node leaves the trial of an endpoint to a peer that also holds it in quarantine. */
    static final long PEER_TRIAL_WAIT_NANOS = Duration.ofSeconds(5).toNanos();

    static final long INITIAL_UNREACHABLE_NANOS = Duration.ofMillis(500).toNanos();
    /** A wait for a probe is longer by up to one of so many parts, so that nodes do not probe in step. */
    static final long JITTER_DIVISOR = 5;

    static final long UNREACHABLE_GROWTH = 2;
    static final long MAX_UNREACHABLE_NANOS = Duration.ofSeconds(10).toNanos();
    /** How many endpoints of another failure domain, one after another, are unreachable when it counts as cut off. */
    static final int UNREACHABLE_WHEN_CUT_OFF = 2;

    /** How often a leaving endpoint that the list still calls live is asked whether it is back. */
    static final long LEAVING_PROBE_NANOS = Duration.ofSeconds(15).toNanos();
    /** How long a probe may take before it is sent again. */
    static final long PROBE_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    static final long INITIAL_BUSY_NANOS = Duration.ofMillis(40).toNanos();
    static final long MAX_BUSY_NANOS = Duration.ofMillis(320).toNanos();

    /** A list that misses at least so many endpoints of a failure domain, and more than half of them, is doubted. */
    static final int MISSING_WHEN_DOUBTFUL = 2;
    /** How long an endpoint is unreachable before also a doubted list is believed to miss it rightly. */
    static final long MAX_UNREACHABLE_KEPT_NANOS = Duration.ofMinutes(10).toNanos();
    /** How long a peer's last report counts. */
    static final long PEER_REPORT_VALID_NANOS = Duration.ofSeconds(10).toNanos();

    private HealthPolicy() {}
}
