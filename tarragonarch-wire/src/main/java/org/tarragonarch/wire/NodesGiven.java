package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.report.Member;

/**
 * The response to a {@link NodesAsked}.
 *
 * @param nodes the nodes that the peer knows
 */
public record NodesGiven(ImmutableList<Member> nodes) implements Frame {
    /** Checks that the list is not null. */
    public NodesGiven {
        checkNotNull(nodes, "nodes");
    }
}
