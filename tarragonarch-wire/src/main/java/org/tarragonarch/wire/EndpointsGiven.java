package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * Answers an {@link EndpointsAsked}.
 *
 * @param endpoints what the peer knows
 */
public record EndpointsGiven(ImmutableList<EndpointEntry> endpoints) implements Frame {
    /** Checks the part. */
    public EndpointsGiven {
        checkNotNull(endpoints, "endpoints");
    }
}
