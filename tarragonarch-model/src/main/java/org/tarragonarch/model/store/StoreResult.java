package org.tarragonarch.model.store;

/** The result of a call to the store. */
public enum StoreResult {
    /** The call succeeded. */
    DONE,
    /** The requested changes are no longer available; the whole table has to be read. */
    HISTORY_GONE,
    /** A condition on a row was not met; nothing was written. */
    CONFLICT,
    /** The store refused the call; nothing was written. */
    TURNED_AWAY,
    /** There was no answer or an unreadable one; a write may have taken effect, or may still do so. */
    UNKNOWN
}
