package org.tarragonarch.core.status;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/**
 * The state of one endpoint as known to a node.
 *
 * @param endpoint the endpoint
 * @param domain its failure domain
 * @param address the address on which it listens
 * @param slots the number of tasks that it runs at once
 * @param inFlight the number of tasks sent by this node that have not ended
 * @param health {@code live}, {@code leaving}, {@code quarantined} or {@code drained}
 * @param why the reason for its health
 */
public record EndpointStatus(
        EndpointId endpoint,
        FailureDomain domain,
        Address address,
        int slots,
        int inFlight,
        String health,
        String why) {}
