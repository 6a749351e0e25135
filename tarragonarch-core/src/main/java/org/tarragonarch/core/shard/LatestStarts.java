package org.tarragonarch.core.shard;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointLife;

/**
 * The latest incarnation of each endpoint that an entry told of, also while the endpoint is not listed.
 *
 * <p>Guards against an entry of an earlier incarnation that is read after a later one was listed and dropped.
 */
final class LatestStarts {
    /** About three times the endpoints of the largest region; what was listed least recently gives way. */
    private static final int MOST_ENDPOINTS = 8_192;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<EndpointId, EndpointLife> latest = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, EndpointLife> eldest) {
            return size() > MOST_ENDPOINTS;
        }
    };

    /** Records an incarnation that has told its start. */
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

    /** Returns whether the endpoint tells when it starts, and this does not. */
    boolean lacksStart(EndpointLife life) {
        return !life.hasStart() && latest.containsKey(life.id());
    }
}
