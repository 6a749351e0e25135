package org.tarragonarch.core.event;

/** What came of asking another node for a kept answer. */
public enum PeerAnswer {
    /** The peer gave complete results, which the shell holds. */
    COMPLETE,
    /** The peer answered its caller with a problem. */
    PROBLEM,
    /** The peer has no memory of the key, or cannot be reached. */
    NOT_TO_BE_HAD
}
