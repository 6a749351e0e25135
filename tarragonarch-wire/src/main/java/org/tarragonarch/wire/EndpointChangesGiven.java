package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * The response to an {@link EndpointChangesAsked}.
 *
 * @param version the store's version as of which the peer knows the entries
 * @param changed the entries that have changed since the version that was asked for; none if the peer's is no later
 */
public record EndpointChangesGiven(long version, ImmutableList<EndpointEntry> changed) implements Frame {
    /** Checks that the list is not null. */
    public EndpointChangesGiven {
        checkNotNull(changed, "changed");
    }
}
