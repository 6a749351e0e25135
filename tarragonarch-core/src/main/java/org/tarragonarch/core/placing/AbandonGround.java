package org.tarragonarch.core.placing;

/** Why a task is not started again, which settles its job. */
public enum AbandonGround {
    /** As many of its runs have failed as its queue allows. */
    ATTEMPTS_USED,
    /** Too many endpoints crashed while they ran it. */
    ENDPOINTS_CRASHED,
    /** Too many of its runs were lost with their endpoints. */
    RUNS_LOST,
    /** An endpoint could not read the order to start it. */
    ORDER_UNREADABLE
}
