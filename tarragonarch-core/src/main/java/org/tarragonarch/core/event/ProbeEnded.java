package org.tarragonarch.core.event;

import org.tarragonarch.model.id.EndpointId;

/**
 * A probe of an endpoint ended.
 *
 * @param endpoint the probed endpoint
 * @param healthy whether it answered that it accepts tasks
 * @param leaving whether it answered that it is leaving
 */
public record ProbeEnded(EndpointId endpoint, boolean healthy, boolean leaving) implements Event {}
