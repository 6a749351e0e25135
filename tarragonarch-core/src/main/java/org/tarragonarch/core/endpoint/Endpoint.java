package org.tarragonarch.core.endpoint;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;

/**
 * An endpoint at which one slot was reserved for a task.
 *
 * @param id the endpoint
 * @param address where it listens
 */
public record Endpoint(EndpointId id, Address address) {}
