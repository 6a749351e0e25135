package org.tarragonarch.benchmark.policy;

import org.tarragonarch.model.service.ServiceObjective;

/** The two users' latencies and tastes, as the brief gives them. */
enum UserShape {
    /** Derwent Pages: authors wait at the upload page. */
    DERWENT(3_000_000, 1_000_000, ServiceObjective.RESPONSE_TIME),
    /** Kivilahti: every message costs capacity of its gateway. */
    KIVILAHTI(1_000_000, 1_500_000, ServiceObjective.FEW_MESSAGES);

    /** One way inside a failure domain; the brief says only that a round trip is under a millisecond. */
    private static final long INSIDE_NANOS = 250_000;

    private final long clientNanos;
    private final long betweenDomainsNanos;
    private final ServiceObjective objective;

    UserShape(long clientNanos, long betweenDomainsNanos, ServiceObjective favour) {
        this.clientNanos = clientNanos;
        this.betweenDomainsNanos = betweenDomainsNanos;
        this.objective = favour;
    }

    ServiceObjective objective() {
        return objective;
    }

    /** Returns one way between a node or endpoint of one failure domain and one of another. */
    long oneWayNanos(int domain, int otherDomain) {
        return domain == otherDomain ? INSIDE_NANOS : betweenDomainsNanos;
    }

    /** Returns the round trips that no policy can avoid: client to node, and node to an endpoint of its domain. */
    long unavoidableNanos() {
        return 2 * (clientNanos + INSIDE_NANOS);
    }

    long clientRoundTripNanos() {
        return 2 * clientNanos;
    }
}
