package org.tarragonarch.core.placing;

/** What every part that calls an endpoint asks of it, and tells it. */
interface EndpointHost {
    /** Returns whether the endpoint gets no calls any more. */
    boolean isClosed();

    /** The endpoint obeys another holder. */
    void endpointFenced();

    /** An endpoint with another id answers at this address. */
    void endpointGone();
}
