package org.tarragonarch.core.shard;

import java.util.Optional;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;

/**
 * The last status of one peer.
 *
 * @param status the status
 * @param receivedAtMillis when it was received, on the steady clock
 * @param reachableSinceMillis since when the peer has been reachable without a break, on the steady clock
 * @param reachable whether the peer is reachable
 * @param fellSilent whether the peer was lost by a missing status, and not by the end of its connections
 */
record LastStatus(
        NodeStatus status, long receivedAtMillis, long reachableSinceMillis, boolean reachable, boolean fellSilent) {
    LastStatus asLost(boolean silent) {
        return new LastStatus(status, receivedAtMillis, reachableSinceMillis, false, silent);
    }

    Optional<HeldShard> held(FailureDomain shard) {
        for (HeldShard held : status.shards()) {
            if (held.domain().equals(shard)) {
                return Optional.of(held);
            }
        }
        return Optional.empty();
    }
}
