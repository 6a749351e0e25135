package org.tarragonarch.core.cluster;

/** What is lost between a node and an endpoint. */
enum EndpointCut {
    /** Calls are lost. */
    CALLS,
    /** Calls arrive, and their answers are lost. */
    ANSWERS,
    /** Orders arrive when the cut ends, as by a connection that sends them again; their answers are lost. */
    CALLS_UNTIL_END
}
