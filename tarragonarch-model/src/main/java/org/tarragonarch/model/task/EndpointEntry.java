package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;

/**
 * The entry of one incarnation of an endpoint in the platform's list.
 *
 * @param incarnation the incarnation; after a crash the endpoint has another start time or another id
 * @param service the service that the endpoint runs tasks for
 * @param address the address at which the endpoint receives orders
 * @param domain the failure domain of the endpoint
 * @param draining whether the endpoint is about to leave and must get no new tasks
 * @param capacity the resources that its tasks may use together
 * @param cold whether the endpoint has just started and is still slower than it will be
 */
public record EndpointEntry(
        EndpointIncarnation incarnation,
        String service,
        Address address,
        FailureDomain domain,
        boolean draining,
        Resources capacity,
        boolean cold) {
    /** Checks that no component is null. */
    public EndpointEntry {
        checkNotNull(incarnation, "incarnation");
        checkNotNull(service, "service");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkNotNull(capacity, "capacity");
    }

    /** Creates the entry of an endpoint whose start time is unknown. */
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

    /** Returns the same entry, marked as draining. */
    public EndpointEntry asDraining() {
        return withDraining(true);
    }

    /** Returns the same entry with another draining mark. */
    public EndpointEntry withDraining(boolean isDraining) {
        return new EndpointEntry(incarnation, service, address, domain, isDraining, capacity, cold);
    }

    /** Returns the same entry of another incarnation. */
    public EndpointEntry withIncarnation(EndpointIncarnation other) {
        return new EndpointEntry(other, service, address, domain, draining, capacity, cold);
    }
}
