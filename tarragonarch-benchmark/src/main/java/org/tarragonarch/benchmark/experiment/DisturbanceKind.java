package org.tarragonarch.benchmark.experiment;

/** The kinds of disturbance in a run. */
public enum DisturbanceKind {
    /** The rate of jobs is multiplied by {@code factor}. */
    BURST,
    /** The rate of jobs from clients of {@code domains} is multiplied by {@code factor}. */
    DOMAIN_BURST,
    /**
     * The rate of each domain follows a sine wave until the end of the run: {@code factor} is the amplitude as a
     * fraction of the mean, and the duration is the period. The phases of the domains are evenly spaced.
     */
    DOMAINS_SWING,
    /** The fraction {@code factor} of the clients of the first of {@code domains} moves to the second one. */
    CLIENTS_MOVE,
    /** Every node loses power for the duration and restarts after that, which takes the start time of the shape. */
    POWER_OFF,
    /** The node that holds most shards is killed, and restarted after the duration. */
    HOLDER_KILLED,
    /** The node that holds most shards is asked to stop, and restarted after the duration. */
    HOLDER_STOPPED,
    /** The node that holds most shards is paused for the duration. */
    HOLDER_FROZEN,
    /** A node without shards is cut off from all other nodes for the duration, but reaches all endpoints. */
    NODE_CUT_OFF,
    /** Tasks hang on the fraction {@code factor} of all endpoints. */
    ENDPOINTS_HANG,
    /** The fraction {@code factor} of all endpoints fails every task. */
    ENDPOINTS_FAIL,
    /** The fraction {@code factor} of all endpoints runs at a sixth of its speed. */
    ENDPOINTS_SLOW
}
