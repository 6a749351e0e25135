package org.tarragonarch.core.endpoint;

/** Whether an endpoint gets new work; the first that applies counts. */
enum Condition {
    /** An operator took it out. */
    DRAINED("drained"),
    /** The platform's list no longer names it; it is kept only until what it runs has ended. */
    UNLISTED("leaving"),
    /** It is about to go. */
    LEAVING("leaving"),
    /** No connection to it came about. */
    UNREACHABLE("quarantined"),
    /** It fails tasks that others do not fail. */
    QUARANTINED("quarantined"),
    /** It is back from quarantine, or under suspicion, and gets one task at a time. */
    ON_TRIAL("live"),
    /** It works. */
    LIVE("live");

    private final String word;

    Condition(String word) {
        this.word = word;
    }

    /** Returns the word that the administration API shows. */
    String word() {
        return word;
    }

    /** Returns whether it may get work at all. */
    boolean isUsable() {
        return this == LIVE || this == ON_TRIAL;
    }
}
