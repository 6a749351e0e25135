package org.tarragonarch.benchmark.policy;

import org.tarragonarch.model.service.ServiceObjective;

/** The latencies and the service objective of each user. */
enum UserShape {
    /** Derwent Pages: authors wait for answers at the upload page, so response time matters most. */
    DERWENT(3_000_000, 1_000_000, ServiceObjective.RESPONSE_TIME),
    /** Kivilahti: every message uses capacity of its gateway, so few messages matter most. */
    KIVILAHTI(1_000_000, 1_500_000, ServiceObjective.FEW_MESSAGES);

    /** The one-way latency inside a failure domain, where a round trip takes less than a millisecond. */
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

    /** Returns the one-way latency between two failure domains, or inside one. */
    long oneWayNanos(int domain, int otherDomain) {
        return domain == otherDomain ? INSIDE_NANOS : betweenDomainsNanos;
    }

    /** Returns the minimal latency of a request: round trips from client to node and from node to a local endpoint. */
    long unavoidableNanos() {
        return 2 * (clientNanos + INSIDE_NANOS);
    }

    long clientRoundTripNanos() {
        return 2 * clientNanos;
    }
}
