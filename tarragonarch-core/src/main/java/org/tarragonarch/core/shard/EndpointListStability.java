package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * Tracks which shards have had the same listed endpoints for long enough that the list counts as complete.
 *
 * <p>Guards against tasks that run twice after a network partition of a domain. Its endpoints cannot reach the
 * platform's store, so their entries lapse and return one by one in the seconds after the partition. A holder in
 * another domain that has asked every listed endpoint for its runs has then missed some, and would start the tasks
 * running there again.
 */
final class EndpointListStability {
    /**
     * How long the endpoints of a shard must be unchanged, in milliseconds. Each endpoint writes its entry every 1.5 s,
     * so returning entries follow each other within that time; the rest allows for reading the list every 0.9 s. A
     * longer time delays the recovery of jobs by a node that was just restarted, as the next holder is during an
     * update.
     */
    private static final long STABLE_MILLIS = 2_000;

    private final EndpointList endpoints;
    private final Map<FailureDomain, ImmutableSet<EndpointId>> listed = new HashMap<>();
    private final Map<FailureDomain, Long> changedAtMillis = new HashMap<>();

    EndpointListStability(EndpointList endpoints) {
        this.endpoints = endpoints;
    }

    /** Records the endpoints now listed in each shard. */
    void update(ImmutableSet<FailureDomain> shards, long nowMillis) {
        for (FailureDomain shard : shards) {
            ImmutableSet<EndpointId> now =
                    endpoints.inDomain(shard).stream().map(EndpointEntry::id).collect(ImmutableSet.toImmutableSet());
            if (!now.equals(listed.put(shard, now))) {
                changedAtMillis.put(shard, nowMillis);
            }
        }
    }

    /** Returns whether the shard has endpoints, and neither they nor the access to the store changed recently. */
    boolean isStable(FailureDomain shard, long nowMillis) {
        Long changed = changedAtMillis.get(shard);
        return changed != null
                && nowMillis - changed >= STABLE_MILLIS
                && !listed.get(shard).isEmpty()
                && endpoints.isStoreReadableFor(STABLE_MILLIS, nowMillis);
    }
}
