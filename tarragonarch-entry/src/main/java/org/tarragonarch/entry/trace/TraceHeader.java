package org.tarragonarch.entry.trace;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.node.EntryNode;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;

/**
 * The first line of a trace: all that a node is made from.
 *
 * @param identity who the node was
 * @param policy the times and bounds it worked by
 * @param seed the seed of its random choices
 */
public record TraceHeader(NodeIdentity identity, NodePolicy policy, long seed) {
    /** Checks the parts. */
    public TraceHeader {
        checkNotNull(identity, "identity");
        checkNotNull(policy, "policy");
    }

    /** Returns a node as it was before its first event. */
    public EntryNode newNode() {
        return EntryNode.create(identity, policy, seed);
    }
}
