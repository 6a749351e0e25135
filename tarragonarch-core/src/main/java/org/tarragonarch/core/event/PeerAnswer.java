package org.tarragonarch.core.event;

/** The result of asking another node for a kept answer. */
public enum PeerAnswer {
    /** The peer sent complete results, which the shell holds. */
    COMPLETE,
    /** The peer answered its caller with a problem. */
    PROBLEM,
    /** The peer does not know the key or cannot be reached. */
    NOT_TO_BE_HAD
}
