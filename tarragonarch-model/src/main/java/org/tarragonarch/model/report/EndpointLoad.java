package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.EndpointId;

/**
 * The number of tasks that the reporting node has in flight at an endpoint.
 *
 * @param endpoint the endpoint
 * @param inFlight the number of tasks sent and not ended
 */
public record EndpointLoad(EndpointId endpoint, int inFlight) {
    /** Checks that the endpoint is not null and the number not negative. */
    public EndpointLoad {
        checkNotNull(endpoint, "endpoint");
        checkArgument(inFlight >= 0, "inFlight %s is negative", inFlight);
    }
}
