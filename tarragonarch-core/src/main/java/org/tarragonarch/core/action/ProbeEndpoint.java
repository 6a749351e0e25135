package org.tarragonarch.core.action;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;

/**
 * Ask an endpoint whether it accepts tasks, and report one {@code ProbeEnded}.
 *
 * @param endpoint the endpoint
 * @param address the address at which it listens
 */
public record ProbeEndpoint(EndpointId endpoint, Address address) implements Action {}
