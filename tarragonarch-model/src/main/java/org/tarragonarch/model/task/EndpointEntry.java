package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;

/**
 * The entry of one incarnation of an endpoint in the platform's list.
 *
 * @param incarnation the incarnation that the entry is of; after a crash the endpoint has another start, or another id
 * @param service the service that it works for
 * @param address where it takes orders
 * @param domain where it stands
 * @param draining whether it is about to leave and must get nothing new
 * @param capacity what its tasks may take together
 * @param cold whether it still works more slowly than it will, because it has just started
 */
public record EndpointEntry(
        EndpointIncarnation incarnation,
        String service,
        Address address,
        FailureDomain domain,
        boolean draining,
        Resources capacity,
        boolean cold) {
    /** Checks the parts. */
    public EndpointEntry {
        checkNotNull(incarnation, "incarnation");
        checkNotNull(service, "service");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkNotNull(capacity, "capacity");
    }

    /** Creates the entry of an endpoint whose start is unknown. */
    public EndpointEntry(
            EndpointId id,
            String service,
            Address address,
            FailureDomain domain,
            boolean draining,
            Resources capacity,
            boolean cold) {
        this(EndpointIncarnation.ofUnknownStart(id), service, address, domain, draining, capacity, cold);
    }

    /** Returns the endpoint's id. */
    public EndpointId id() {
        return incarnation.id();
    }

    /** Returns the same entry of an endpoint that must get nothing new. */
    public EndpointEntry asDraining() {
        return withDraining(true);
    }

    /** Returns the same entry of an endpoint that must get nothing new, or may again. */
    public EndpointEntry withDraining(boolean now) {
        return new EndpointEntry(incarnation, service, address, domain, now, capacity, cold);
    }

    /** Returns the same entry of another incarnation. */
    public EndpointEntry withIncarnation(EndpointIncarnation other) {
        return new EndpointEntry(other, service, address, domain, draining, capacity, cold);
    }
}
