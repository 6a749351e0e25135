package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointLife;
import org.tarragonarch.model.id.FailureDomain;

/**
 * What the platform's list says of one incarnation of an endpoint.
 *
 * @param life the incarnation that the entry is of; after a crash the endpoint has another start, or another id
 * @param service the service that it works for
 * @param address where it takes orders
 * @param domain where it stands
 * @param draining whether it is about to leave and must get nothing new
 * @param capacity what its tasks may take together
 * @param cold whether it still works more slowly than it will, because it has just started
 */
public record EndpointEntry(
        EndpointLife life,
        String service,
        Address address,
        FailureDomain domain,
        boolean draining,
        Resources capacity,
        boolean cold) {
    /** Checks the parts. */
    public EndpointEntry {
        checkNotNull(life, "life");
        checkNotNull(service, "service");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkNotNull(capacity, "capacity");
    }

    /** Creates the entry of an endpoint that does not tell when it started. */
    public EndpointEntry(
            EndpointId id,
            String service,
            Address address,
            FailureDomain domain,
            boolean draining,
            Resources capacity,
            boolean cold) {
        this(EndpointLife.ofUnknownStart(id), service, address, domain, draining, capacity, cold);
    }

    /** Returns the endpoint's id. */
    public EndpointId id() {
        return life.id();
    }

    /** Returns the same entry of an endpoint that must get nothing new. */
    public EndpointEntry asDraining() {
        return withDraining(true);
    }

    /** Returns the same entry of an endpoint that must get nothing new, or may again. */
    public EndpointEntry withDraining(boolean now) {
        return new EndpointEntry(life, service, address, domain, now, capacity, cold);
    }

    /** Returns the same entry of another incarnation. */
    public EndpointEntry withLife(EndpointLife other) {
        return new EndpointEntry(other, service, address, domain, draining, capacity, cold);
    }
}
