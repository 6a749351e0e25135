package org.tarragonarch.standin.explore;

/** The fault of a fake endpoint. */
public enum EndpointFault {
    /** Works correctly. */
    NONE,
    /** Fails every task after one millisecond. */
    FAILS_ALL,
    /** Runs the task and breaks the connection in the middle of the response. */
    CUTS_ANSWER_SHORT,
    /** Accepts the task and never answers. */
    HANGS
}
