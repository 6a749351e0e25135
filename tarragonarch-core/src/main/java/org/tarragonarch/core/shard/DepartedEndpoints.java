package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * Endpoints whose entries were removed recently although they had not announced that they leave.
 *
 * <p>Guards against a task that runs twice: an endpoint that cannot write to the store loses its entry but keeps
 * running tasks, and a new holder that does not ask this endpoint would assume that those runs have ended.
 */
final class DepartedEndpoints {
    /**
     * How long a departed endpoint is kept. Its holder starts nothing there once it has read the list again, no run
     * outlasts the deadline of its job, and deadlines are shorter than this.
     */
    static final long RETENTION_MILLIS = 15_000;

    private final Map<EndpointId, Departed> departed = new HashMap<>();

    /** Records that an entry was removed; ignores one that was draining. */
    void add(EndpointEntry entry, long nowMillis) {
        if (!entry.draining()) {
            departed.put(entry.id(), new Departed(entry, nowMillis));
        }
    }

    /** Forgets an endpoint, because it is listed again. */
    void remove(EndpointId id) {
        departed.remove(id);
    }

    /** Forgets endpoints that departed {@value #RETENTION_MILLIS} ms ago or longer; returns whether there were any. */
    boolean expire(long nowMillis) {
        return departed.values().removeIf(endpoint -> nowMillis - endpoint.removedAtMillis() >= RETENTION_MILLIS);
    }

    /** Returns the last entry of each departed endpoint. */
    ImmutableList<EndpointEntry> entries() {
        return departed.values().stream().map(Departed::entry).collect(ImmutableList.toImmutableList());
    }

    /** The last entry of an endpoint, and the time of its removal on the steady clock. */
    private record Departed(EndpointEntry entry, long removedAtMillis) {}
}
