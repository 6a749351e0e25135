package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * Tells which shards have had the same endpoints for a while, so that the list can be taken for whole.
 *
 * <p>Guards against tasks that run twice after a domain was cut off: its endpoints cannot reach the platform's store
 * either, so their entries lapse outside, and come back one by one in the seconds after the cut. A holder outside that
 * has read all endpoints on its list has then not read all that there are, and a job that runs on one that is missing
 * looks to it like one that does not run.
 */
final class EndpointListStability {
    /**
     * For how long nothing may come or go, in milliseconds. Each endpoint writes its entry every 1.5 s, so of several
     * that come back two follow each other by less; the rest is for reading the list every 0.9 s. More keeps nodes that
     * were just restarted from going on with jobs, and in an update one of them is the next holder.
     */
    private static final long STEADY_MILLIS = 2_000;

    private final EndpointList endpoints;
    private final Map<FailureDomain, ImmutableSet<EndpointId>> listed = new HashMap<>();
    private final Map<FailureDomain, Long> changedAtMillis = new HashMap<>();

    EndpointListStability(EndpointList endpoints) {
        this.endpoints = endpoints;
    }

    /** Records the list as it is now. */
    void update(ImmutableSet<FailureDomain> shards, long nowMillis) {
        for (FailureDomain shard : shards) {
            ImmutableSet<EndpointId> now =
                    endpoints.inDomain(shard).stream().map(EndpointEntry::id).collect(ImmutableSet.toImmutableSet());
            if (!now.equals(listed.put(shard, now))) {
                changedAtMillis.put(shard, nowMillis);
            }
        }
    }

    boolean isStable(FailureDomain shard, long nowMillis) {
        Long changed = changedAtMillis.get(shard);
        return changed != null
                && nowMillis - changed >= STEADY_MILLIS
                && !listed.get(shard).isEmpty()
                && endpoints.isStoreReadableFor(STEADY_MILLIS, nowMillis);
    }
}
