package org.tarragonarch.wire;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** The latest known incarnation of each node; the least recently accessed node is evicted first. */
final class PeerRuns {
    private static final int MAX_NODES = 4_096;

    private final Map<NodeId, Incarnation> latest = BoundedMaps.evictingLeastRecentlyAccessed(MAX_NODES);

    /** Records an incarnation; returns whether it is the latest known one of the node. */
    boolean recordRun(NodeId node, Incarnation run) {
        return latest.merge(node, run, (known, added) -> known.compareTo(added) > 0 ? known : added)
                .equals(run);
    }

    Optional<Incarnation> latest(NodeId node) {
        return Optional.ofNullable(latest.get(node));
    }
}
