package org.tarragonarch.core.placing;

/** The endpoint as seen by the classes that send calls to it. */
interface EndpointHost {
    /** Returns whether no more calls are to be sent to the endpoint. */
    boolean isClosed();

    /** Returns until when all runs on the endpoint may continue, on the steady clock in milliseconds. */
    long runsEndMillis();

    /** Called when the endpoint rejects this holder's token because it has seen a higher one. */
    void endpointFenced();

    /** Called when an endpoint with another id answers at this address. */
    void endpointGone();
}
