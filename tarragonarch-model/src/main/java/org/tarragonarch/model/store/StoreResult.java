package org.tarragonarch.model.store;

/** How a call to the store ended. */
public enum StoreResult {
    /** Carried out. */
    DONE,
    /** The history that was asked for is no longer there: the table has to be read whole. */
    HISTORY_GONE,
    /** A row was not as the condition says; nothing was done. */
    CONFLICT,
    /** Turned away; nothing was done. */
    TURNED_AWAY,
    /** No answer, or an unreadable one; a write may have been done, and may be yet. */
    UNKNOWN
}
