package org.tarragonarch.wire;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** The latest run of each node that a connection was had with; the nodes not met for longest are forgotten first. */
final class PeerRuns {
    private static final int MAX_NODES = 4_096;

    private final Map<NodeId, Incarnation> latest = BoundedMaps.evictingLeastRecentlyAccessed(MAX_NODES);

    /** Records a run; returns whether it is the latest known. */
    boolean recordRun(NodeId node, Incarnation run) {
        return latest.merge(node, run, (known, now) -> known.compareTo(now) > 0 ? known : now)
                .equals(run);
    }

    Optional<Incarnation> latest(NodeId node) {
        return Optional.ofNullable(latest.get(node));
    }
}
