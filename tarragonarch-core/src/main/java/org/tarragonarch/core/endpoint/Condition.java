package org.tarragonarch.core.endpoint;

/** The condition of an endpoint; where several apply, the one declared first is used. */
enum Condition {
    /** An operator has drained it. */
    DRAINED("drained"),
    /** The platform's VM list no longer contains it; it is kept until its running tasks have ended. */
    UNLISTED("leaving"),
    /** It is known to be leaving. */
    LEAVING("leaving"),
    /** A connection to it failed. */
    UNREACHABLE("quarantined"),
    /** It fails tasks that succeed at other endpoints. */
    QUARANTINED("quarantined"),
    /** It has returned from quarantine or is suspected of being broken; it gets one task at a time. */
    ON_TRIAL("live"),
    /** It takes tasks without restriction. */
    LIVE("live");

    private final String word;

    Condition(String word) {
        this.word = word;
    }

    /** Returns the name used by the administration API. */
    String word() {
        return word;
    }

    /** Returns whether an endpoint in this condition may get tasks. */
    boolean isUsable() {
        return this == LIVE || this == ON_TRIAL;
    }
}
