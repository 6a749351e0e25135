package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * The response to an {@link EndpointsAsked}.
 *
 * @param endpoints the endpoints that the peer knows
 */
public record EndpointsGiven(ImmutableList<EndpointEntry> endpoints) implements Frame {
    /** Checks that the list is not null. */
    public EndpointsGiven {
        checkNotNull(endpoints, "endpoints");
    }
}
