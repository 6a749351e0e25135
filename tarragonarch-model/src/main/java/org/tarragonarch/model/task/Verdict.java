package org.tarragonarch.model.task;

/** What a holder says of a job that it was offered. */
public enum Verdict {
    /** All tasks have ended well. */
    DONE,
    /** A task has used up its attempts. */
    FAILED,
    /** Not taken: no task was started, and no task will be. */
    DECLINED,
    /** Given up because its answer would come too late to be of use; whatever ran is stopped. */
    TOO_LATE,
    /** Its holder releases the shard; whatever runs is left to the next holder, or to its lease. */
    HOLD_LOST,
    /** Its holder releases the shard and has started nothing of it. */
    RETURNED,
    /** Given back because none of its holder's endpoints may take the rest of it; whatever ran has been stopped. */
    EVICTED,
    /**
     * Not taken because it could not start at once, as its offer asked; no task was started. The job may be offered to
     * the same holder again under other terms.
     */
    NOT_AT_ONCE
}
