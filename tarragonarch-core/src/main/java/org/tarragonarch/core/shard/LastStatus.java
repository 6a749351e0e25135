package org.tarragonarch.core.shard;

import java.util.Optional;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;

/**
 * The last status of one peer.
 *
 * @param atMillis when it came
 * @param sinceMillis since when it has been there without a break
 * @param present whether it is reachable
 * @param fellSilent whether it was lost by its silence, and not by the end of its connections
 */
record LastStatus(NodeStatus status, long atMillis, long sinceMillis, boolean present, boolean fellSilent) {
    LastStatus gone(boolean silent) {
        return new LastStatus(status, atMillis, sinceMillis, false, silent);
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
