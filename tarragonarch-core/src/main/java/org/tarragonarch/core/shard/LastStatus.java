package org.tarragonarch.core.shard;

import java.util.Optional;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;

/**
 * The last status of a peer, and whether the peer is reachable.
 *
 * @param status the status
 * @param receivedAtMillis the time of its receipt, on the steady clock
 * @param reachableSinceMillis the time since which the peer has been reachable without interruption, on the steady
 *     clock
 * @param reachable whether the peer is reachable
 * @param overdue whether the next status was found to be overdue
 * @param fellSilent whether the peer was lost because its status was overdue, not because its connections ended
 */
record LastStatus(
        NodeStatus status,
        long receivedAtMillis,
        long reachableSinceMillis,
        boolean reachable,
        boolean overdue,
        boolean fellSilent) {
    LastStatus asOverdue() {
        return new LastStatus(status, receivedAtMillis, reachableSinceMillis, reachable, true, fellSilent);
    }

    LastStatus asLost(boolean silent) {
        return new LastStatus(status, receivedAtMillis, reachableSinceMillis, false, overdue, silent);
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
