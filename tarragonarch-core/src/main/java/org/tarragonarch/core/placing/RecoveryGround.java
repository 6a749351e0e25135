package org.tarragonarch.core.placing;

/** The evidence that all runs that an earlier holder started for a job are either adopted or over. */
public enum RecoveryGround {
    /** For each task of the job, a run or the end of one was found. */
    ALL_FOUND,
    /** The lists of every endpoint in the job's earlier shards were read under this holder's token. */
    LISTS_READ,
    /** The leases of all runs that the earlier holder may have started have expired. */
    LEASE_OVER
}
