package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/**
 * What the platform's list says of one life of an endpoint.
 *
 * @param id names this life; after a crash the endpoint has another id
 * @param service the service that it works for
 * @param address where it takes orders
 * @param domain where it stands
 * @param draining whether it is about to leave and must get nothing new
 * @param capacity what its tasks may take together
 * @param cold whether it still works more slowly than it will, because it has just started
 */
public record EndpointEntry(
        EndpointId id,
        String service,
        Address address,
        FailureDomain domain,
        boolean draining,
        Resources capacity,
        boolean cold) {
    /** Checks the parts. */
    public EndpointEntry {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkNotNull(capacity, "capacity");
    }

    /** Returns the same entry of an endpoint that must get nothing new. */
    public EndpointEntry asDraining() {
        return new EndpointEntry(id, service, address, domain, true, capacity, cold);
    }
}
