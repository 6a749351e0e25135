package org.tarragonarch.core.shard;

import java.util.Map;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;

/**
 * The latest known incarnation of each endpoint, kept also while the endpoint is not listed.
 *
 * <p>Guards against an entry of an earlier incarnation that is read after the entry of a later one was removed.
 */
final class LatestIncarnations {
    /** About three times the endpoints of the largest region; the least recently accessed entry is dropped. */
    private static final int MAX_ENDPOINTS = 8_192;

    private final Map<EndpointId, EndpointIncarnation> latest =
            BoundedMaps.evictingLeastRecentlyAccessed(MAX_ENDPOINTS);

    /** Records an incarnation if its start is known. */
    void record(EndpointIncarnation incarnation) {
        if (incarnation.hasStart()) {
            latest.put(incarnation.id(), incarnation);
        }
    }

    /** Returns whether a later incarnation is known. */
    boolean isSuperseded(EndpointIncarnation incarnation) {
        EndpointIncarnation known = latest.get(incarnation.id());
        return known != null && known.isLaterThan(incarnation);
    }

    /** Returns whether a start of the endpoint is known and this incarnation has none. */
    boolean lacksKnownStart(EndpointIncarnation incarnation) {
        return !incarnation.hasStart() && latest.containsKey(incarnation.id());
    }
}
