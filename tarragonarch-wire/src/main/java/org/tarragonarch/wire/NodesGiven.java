package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.report.Member;

/**
 * Answers a {@link NodesAsked}.
 *
 * @param nodes every node that the peer knows
 */
public record NodesGiven(ImmutableList<Member> nodes) implements Frame {
    /** Checks the part. */
    public NodesGiven {
        checkNotNull(nodes, "nodes");
    }
}
