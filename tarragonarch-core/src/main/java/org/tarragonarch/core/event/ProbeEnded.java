package org.tarragonarch.core.event;

import org.tarragonarch.model.id.EndpointId;

/**
 * A probe of an endpoint has come to an end.
 *
 * @param endpoint the endpoint probed
 * @param healthy whether it answered that it takes work
 * @param leaving whether it answered that it is leaving
 */
public record ProbeEnded(EndpointId endpoint, boolean healthy, boolean leaving) implements Event {}
