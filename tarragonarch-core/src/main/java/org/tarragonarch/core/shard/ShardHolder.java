package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;

/**
 * A node that holds a shard.
 *
 * @param node the holder
 * @param held the shard as described in the holder's last status
 */
public record ShardHolder(NodeId node, HeldShard held) {
    /** Creates the pair of a holder and its shard. */
    public ShardHolder {
        checkNotNull(node, "node");
        checkNotNull(held, "held");
    }

    /** Returns whether this holder's token is higher than the other one. */
    boolean outranks(HeldShard other) {
        return held.token().compareTo(other.token()) > 0;
    }
}
