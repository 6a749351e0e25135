package org.tarragonarch.core.placing;

/** The faults beside those of orders that may occur. */
enum FaultEvent {
    /** A client leaves and comes again. */
    CLIENT_LEAVES,
    /** An endpoint restarts under its id and tells its start time. */
    RESTART,
    /** An endpoint restarts under its id and does not tell its start time. */
    RESTART_WITHOUT_START,
    /** An endpoint restarts under another id. */
    RESTART_UNDER_OTHER_ID,
    /** The capacity of an endpoint changes. */
    RESIZE,
    /** Another holder claims a pool. */
    CLAIM
}
