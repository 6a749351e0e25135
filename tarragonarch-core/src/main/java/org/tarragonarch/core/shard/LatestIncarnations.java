package org.tarragonarch.core.shard;

import java.util.Map;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;

/**
 * The latest known incarnation of each endpoint, also of endpoints that are not listed.
 *
 * <p>Guards against accepting an entry of an earlier incarnation after the entry of a later one was removed.
 */
final class LatestIncarnations {
    /** About three times the endpoints of the largest region; the least recently accessed entry is dropped. */
    private static final int MAX_ENDPOINTS = 8_192;

    private final Map<EndpointId, EndpointIncarnation> latest =
            BoundedMaps.evictingLeastRecentlyAccessed(MAX_ENDPOINTS);

    /** Records an incarnation; ignores one without a start time. */
    void record(EndpointIncarnation incarnation) {
        if (incarnation.hasStart()) {
            latest.put(incarnation.id(), incarnation);
        }
    }

    /** Returns whether a later incarnation of the endpoint is known. */
    boolean isSuperseded(EndpointIncarnation incarnation) {
        EndpointIncarnation known = latest.get(incarnation.id());
        return known != null && known.isLaterThan(incarnation);
    }

    /** Returns whether the incarnation has no start time although one is known for its endpoint. */
    boolean lacksKnownStart(EndpointIncarnation incarnation) {
        return !incarnation.hasStart() && latest.containsKey(incarnation.id());
    }
}
