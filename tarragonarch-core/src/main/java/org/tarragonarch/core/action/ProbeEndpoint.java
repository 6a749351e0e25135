package org.tarragonarch.core.action;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;

/**
 * Ask an endpoint whether it takes work, and report one {@code ProbeEnded}.
 *
 * @param endpoint the endpoint
 * @param address where it listens
 */
public record ProbeEndpoint(EndpointId endpoint, Address address) implements Action {}
