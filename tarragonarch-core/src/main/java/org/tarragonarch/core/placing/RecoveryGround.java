package org.tarragonarch.core.placing;

/** How a holder knows that no run of an earlier holder's job is under way but those that the job has adopted. */
public enum RecoveryGround {
    /** A run of each task was found, or its end. */
    ALL_FOUND,
    /** Every endpoint of the shards in question was read under this holder's token. */
    LISTS_READ,
    /** The lease of whatever the earlier holder started is over. */
    LEASE_OVER
}
