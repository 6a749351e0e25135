package org.tarragonarch.core.event;

import org.tarragonarch.model.id.EndpointId;

/**
 * An operator takes an endpoint out, or puts it back.
 *
 * @param endpoint the endpoint
 * @param out whether it must get no new work
 */
public record EndpointDrainRequested(EndpointId endpoint, boolean out) implements Event {}
