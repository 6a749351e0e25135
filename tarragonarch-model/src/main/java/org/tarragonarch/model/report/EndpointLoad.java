package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.EndpointId;

/**
 * How many tasks the reporting node has in flight at an endpoint.
 *
 * @param endpoint the endpoint
 * @param inFlight tasks sent and not ended
 */
public record EndpointLoad(EndpointId endpoint, int inFlight) {
    /** Checks the parts. */
    public EndpointLoad {
        checkNotNull(endpoint, "endpoint");
        checkArgument(inFlight >= 0, "inFlight %s is negative", inFlight);
    }
}
