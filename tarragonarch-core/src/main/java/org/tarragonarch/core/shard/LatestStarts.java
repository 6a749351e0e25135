package org.tarragonarch.core.shard;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointLife;

/**
 * The latest known incarnation of each endpoint, kept also while the endpoint is not listed.
 *
 * <p>Guards against an entry of an earlier incarnation that is read after the entry of a later one was removed.
 */
final class LatestStarts {
    /** About three times the endpoints of the largest region; the least recently accessed entry is dropped. */
    private static final int MAX_ENDPOINTS = 8_192;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<EndpointId, EndpointLife> latest = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, EndpointLife> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };

    /** Records an incarnation if its start is known. */
    void record(EndpointLife life) {
        if (life.hasStart()) {
            latest.put(life.id(), life);
        }
    }

    /** Returns whether a later incarnation is known. */
    boolean isOver(EndpointLife life) {
        EndpointLife known = latest.get(life.id());
        return known != null && known.isLaterThan(life);
    }

    /** Returns whether a start of the endpoint is known and this incarnation has none. */
    boolean lacksStart(EndpointLife life) {
        return !life.hasStart() && latest.containsKey(life.id());
    }
}
