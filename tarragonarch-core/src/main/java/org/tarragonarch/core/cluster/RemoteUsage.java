package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;

/** The processor time in use in the shards of other holders, by share priority, from the holders' statuses. */
final class RemoteUsage {
    /** The maximum age of a status that is used, in milliseconds: five status periods of a holder. */
    private static final long MAX_STATUS_AGE_MILLIS = 1_000;

    private final Map<NodeId, Received> byHolder = new HashMap<>();

    /** Records a peer's status. */
    void statusReceived(NodeStatus status, long nowMillis) {
        boolean isHolder =
                status.shards().stream().anyMatch(shard -> !shard.uses().isEmpty());
        if (isHolder) {
            byHolder.put(status.node(), new Received(status, nowMillis));
        } else {
            byHolder.remove(status.node());
        }
    }

    /** Returns the use by priority, in thousandths of a core, without holders whose status is too old. */
    ImmutableMap<Integer, Long> byPriority(long nowMillis) {
        byHolder.values().removeIf(each -> nowMillis - each.atMillis() > MAX_STATUS_AGE_MILLIS);
        Map<Integer, Long> used = new HashMap<>();
        for (Received each : byHolder.values()) {
            each.status()
                    .shards()
                    .forEach(shard ->
                            shard.uses().forEach(use -> used.merge(use.priority(), use.milliCores(), Long::sum)));
        }
        return ImmutableMap.copyOf(used);
    }

    private record Received(NodeStatus status, long atMillis) {}
}
