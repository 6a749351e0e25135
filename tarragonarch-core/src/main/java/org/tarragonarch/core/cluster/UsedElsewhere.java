package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;

/** What each priority has in use in the shards of other holders, as their statuses say. */
final class UsedElsewhere {
    /** Five status periods of a holder; an older status says nothing of runs that last less than that. */
    private static final long FRESH_MILLIS = 1_000;

    private final Map<NodeId, Received> byHolder = new HashMap<>();

    /** Records a peer's status. */
    void received(NodeStatus status, long nowMillis) {
        boolean isHolder =
                status.shards().stream().anyMatch(shard -> !shard.uses().isEmpty());
        if (isHolder) {
            byHolder.put(status.node(), new Received(status, nowMillis));
        } else {
            byHolder.remove(status.node());
        }
    }

    /** Returns the use by priority, in thousandths of a core; holders whose status is too old are left out. */
    ImmutableMap<Integer, Long> byPriority(long nowMillis) {
        byHolder.values().removeIf(each -> nowMillis - each.atMillis() > FRESH_MILLIS);
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
