package org.tarragonarch.benchmark.experiment;

/** What can happen to a cluster in the middle of a run. */
public enum DisturbanceKind {
    /** Jobs come {@code factor} times as fast. */
    BURST,
    /** Jobs of the clients of {@code domains} come {@code factor} times as fast. */
    DOMAIN_BURST,
    /**
     * The rate of each domain swings by the part {@code factor} of its mean, with the period of the time, each domain
     * as far behind the one before as makes them even together; it goes on to the end of the run.
     */
    DOMAINS_SWING,
    /** The part {@code factor} of the clients of the first of {@code domains} comes to the second one's nodes. */
    CLIENTS_MOVE,
    /** Every node loses power for the time, and then takes the load's start time. */
    POWER_OFF,
    /** The node that holds most shards is killed, and starts again after the time. */
    HOLDER_KILLED,
    /** The node that holds most shards is asked to stop, and starts again after the time. */
    HOLDER_STOPPED,
    /** The node that holds most shards is paused for the time. */
    HOLDER_FROZEN,
    /** One node that holds nothing receives nothing from any other for the time, and reaches all endpoints. */
    NODE_CUT_OFF,
    /** Tasks stall on the part {@code factor} of all endpoints. */
    ENDPOINTS_HANG,
    /** The part {@code factor} of all endpoints fails whatever it starts. */
    ENDPOINTS_FAIL,
    /** The part {@code factor} of all endpoints is six times as slow. */
    ENDPOINTS_SLOW
}
