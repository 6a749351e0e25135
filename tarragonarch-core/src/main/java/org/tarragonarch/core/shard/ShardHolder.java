package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;

/**
 * A node that holds a shard.
 *
 * @param node the node
 * @param held what it says of the shard
 */
public record ShardHolder(NodeId node, HeldShard held) {
    /** Checks the parts. */
    public ShardHolder {
        checkNotNull(node, "node");
        checkNotNull(held, "held");
    }

    boolean outranks(HeldShard other) {
        return held.token().compareTo(other.token()) > 0;
    }
}
