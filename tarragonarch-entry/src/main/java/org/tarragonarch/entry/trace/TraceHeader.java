package org.tarragonarch.entry.trace;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.node.EntryNode;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;

/**
 * The first line of a trace: everything needed to create the node again.
 *
 * @param identity the identity of the node
 * @param policy the durations and limits of the core
 * @param seed the seed of the random numbers
 */
public record TraceHeader(NodeIdentity identity, NodePolicy policy, long seed) {
    /** Creates a header; no component may be null. */
    public TraceHeader {
        checkNotNull(identity, "identity");
        checkNotNull(policy, "policy");
    }

    /** Creates the node in its state before the first event. */
    public EntryNode newNode() {
        return EntryNode.create(identity, policy, seed);
    }
}
