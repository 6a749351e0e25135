package org.tarragonarch.core.endpoint;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;

/**
 * An endpoint with one slot reserved for a task.
 *
 * @param id the id of the endpoint
 * @param address the address at which it listens
 */
public record Endpoint(EndpointId id, Address address) {}
