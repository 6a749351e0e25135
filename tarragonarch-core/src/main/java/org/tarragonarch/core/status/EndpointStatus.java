package org.tarragonarch.core.status;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/**
 * What a node knows of one endpoint.
 *
 * @param endpoint the endpoint
 * @param domain where it stands
 * @param address where it listens
 * @param slots how many tasks it runs at once
 * @param inFlight tasks of this node that were sent and have not ended
 * @param health {@code live}, {@code leaving}, {@code quarantined} or {@code drained}
 * @param why why its health is what it is
 */
public record EndpointStatus(
        EndpointId endpoint,
        FailureDomain domain,
        Address address,
        int slots,
        int inFlight,
        String health,
        String why) {}
