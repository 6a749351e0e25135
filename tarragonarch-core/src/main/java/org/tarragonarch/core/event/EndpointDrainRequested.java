package org.tarragonarch.core.event;

import org.tarragonarch.model.id.EndpointId;

/**
 * An operator drains or undrains an endpoint.
 *
 * @param endpoint the endpoint
 * @param out whether the endpoint must get no new tasks
 */
public record EndpointDrainRequested(EndpointId endpoint, boolean out) implements Event {}
