package org.tarragonarch.standin.explore;

/** What a fake endpoint may do wrong. */
public enum EndpointFault {
    /** Nothing. */
    NONE,
    /** Fails every task at once. */
    FAILS_ALL,
    /** Runs the task and breaks the connection in the middle of the answer. */
    CUTS_ANSWER_SHORT,
    /** Takes the task and never answers. */
    HANGS
}
