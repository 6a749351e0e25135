package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * Endpoints whose entries were removed a short while ago although they had not announced to leave.
 *
 * <p>Guards against a task that runs twice: an endpoint that cannot write to the store loses its entry and runs on, and
 * a holder that does not read it takes what runs there for over.
 */
final class DepartedEndpoints {
    /**
     * How long an endpoint counts as departed. Its holder starts nothing there from its next reading of the list, and
     * no run outlasts the deadline of its job; clients wait less than this.
     */
    static final long RETENTION_MILLIS = 15_000;

    private final Map<EndpointId, Departed> departed = new HashMap<>();

    /** Records that an entry was removed. */
    void add(EndpointEntry entry, long nowMillis) {
        if (!entry.draining()) {
            departed.put(entry.id(), new Departed(entry, nowMillis));
        }
    }

    /** Records that an endpoint is listed. */
    void remove(EndpointId id) {
        departed.remove(id);
    }

    /** Forgets those that departed too long ago; returns whether there were any. */
    boolean expire(long nowMillis) {
        return departed.values().removeIf(endpoint -> nowMillis - endpoint.atMillis() >= RETENTION_MILLIS);
    }

    /** Returns their last entries. */
    ImmutableList<EndpointEntry> entries() {
        return departed.values().stream().map(Departed::entry).collect(ImmutableList.toImmutableList());
    }

    /** An endpoint's last entry, and when it was removed. */
    private record Departed(EndpointEntry entry, long atMillis) {}
}
