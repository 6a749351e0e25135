package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;

/**
 * The endpoints that the platform lists.
 *
 * <p>During an outage of the platform's store the entries of live endpoints lapse. They appear as deleted right after
 * the outage and return within {@value #RETURN_MILLIS} ms, so entries deleted in that time are kept until it is over.
 */
public final class EndpointList {
    /** The platform guarantees two seconds; the rest covers the delay until this node reads the entry. */
    private static final long RETURN_MILLIS = 2_500;

    /**
     * Age up to which the list may be used to claim a shard: two reading periods of a node that needs the list, and
     * less than the two seconds within which a node must stop using an endpoint that leaves.
     */
    private static final long MAX_AGE_MILLIS = 1_800;

    private final Map<EndpointId, EndpointEntry> entries = new HashMap<>();
    private final Map<EndpointId, Long> missingUntilMillis = new HashMap<>();
    private final DepartedEndpoints departed = new DepartedEndpoints();
    private final LatestIncarnations incarnations = new LatestIncarnations();
    private ImmutableSet<String> services = ImmutableSet.of();
    private ImmutableSet<FailureDomain> drainedDomains = ImmutableSet.of();
    private boolean storeUnreadable;
    private long storeRegainedAtMillis = Long.MIN_VALUE / 2;
    private OptionalLong currentAsOfMillis = OptionalLong.empty();
    private long firstAsOfMillis;

    /** Creates an empty list. */
    public EndpointList() {}

    /** Returns whether no endpoint is listed. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Records an entry read from the store; returns whether the list changed.
     *
     * <p>An entry of an earlier incarnation than the latest known is dropped. An entry without a start time, for an
     * endpoint whose start time is known, comes from another writer and removes the endpoint from the list.
     */
    public boolean recordListed(EndpointEntry entry, long nowMillis) {
        if (incarnations.lacksKnownStart(entry.incarnation())) {
            return recordOverwritten(entry.id(), nowMillis);
        }
        return recordUnlessSuperseded(entry);
    }

    /**
     * Records an entry received from a peer; returns whether the list changed.
     *
     * <p>A peer may not know the start time, so an entry without one does not indicate another writer and is dropped.
     */
    public boolean recordFromPeer(EndpointEntry entry) {
        return !incarnations.lacksKnownStart(entry.incarnation()) && recordUnlessSuperseded(entry);
    }

    private boolean recordUnlessSuperseded(EndpointEntry entry) {
        if (incarnations.isSuperseded(entry.incarnation())) {
            return false;
        }
        incarnations.record(entry.incarnation());
        missingUntilMillis.remove(entry.id());
        departed.remove(entry.id());
        return !Objects.equals(entries.put(entry.id(), entry), entry);
    }

    /**
     * Records that an entry is no longer in the store; returns whether the list changed.
     *
     * <p>During an outage of the store and shortly after it the entry is kept for now.
     */
    public boolean recordUnlisted(EndpointId id, long nowMillis) {
        if (storeUnreadable || nowMillis - storeRegainedAtMillis < RETURN_MILLIS) {
            missingUntilMillis.putIfAbsent(id, Math.max(nowMillis, storeRegainedAtMillis) + RETURN_MILLIS);
            return false;
        }
        return remove(id, nowMillis);
    }

    private boolean remove(EndpointId id, long nowMillis) {
        EndpointEntry removed = entries.remove(id);
        if (removed != null) {
            departed.add(removed, nowMillis);
        }
        return removed != null;
    }

    /**
     * Removes an endpoint whose entry another writer has overwritten; returns whether it was listed.
     *
     * <p>The entry no longer describes the endpoint, so no task starts there until the endpoint's next heartbeat
     * restores its own entry. Until then it counts as departed, since it may not reach the store and run on.
     */
    public boolean recordOverwritten(EndpointId id, long nowMillis) {
        missingUntilMillis.remove(id);
        return remove(id, nowMillis);
    }

    /** Replaces the whole list by the entries read from the store; returns whether it changed. */
    public boolean replaceAll(Iterable<EndpointEntry> listed, long nowMillis) {
        boolean changed = false;
        Set<EndpointId> missing = new HashSet<>(entries.keySet());
        for (EndpointEntry entry : listed) {
            changed |= recordListed(entry, nowMillis);
            missing.remove(entry.id());
        }
        for (EndpointId id : missing) {
            changed |= recordUnlisted(id, nowMillis);
        }
        return changed;
    }

    /** Records that the store cannot be read. */
    public void recordStoreLost() {
        storeUnreadable = true;
    }

    /** Records that the store can be read again. */
    public void recordStoreRegained(long nowMillis) {
        if (storeUnreadable) {
            storeUnreadable = false;
            storeRegainedAtMillis = nowMillis;
        }
    }

    /** Records that the list held every entry of the store at this time, on the steady clock. */
    public void recordCurrentAsOf(long millis) {
        if (currentAsOfMillis.isEmpty()) {
            firstAsOfMillis = millis;
        }
        currentAsOfMillis = OptionalLong.of(millis);
    }

    /**
     * Returns whether every endpoint that may run tasks is listed or known to have departed.
     *
     * <p>A node does not know the endpoints that lost their entries before it first read the list, so this holds only
     * after it has read the list for as long as departed endpoints are kept.
     */
    boolean areDeparturesKnown(long nowMillis) {
        return currentAsOfMillis.isPresent() && nowMillis - firstAsOfMillis >= DepartedEndpoints.RETENTION_MILLIS;
    }

    /**
     * Returns whether the list is recent enough to start tasks from it, or no newer one is available.
     *
     * <p>Guards against a node that reads the list infrequently, claims a shard, and starts tasks on an endpoint that
     * has announced since the last reading that it leaves.
     */
    boolean isFresh(long nowMillis) {
        return storeUnreadable
                || currentAsOfMillis.isEmpty()
                || nowMillis - currentAsOfMillis.getAsLong() <= MAX_AGE_MILLIS;
    }

    /** Returns whether the list held every entry of the store at this time or later, on the steady clock. */
    boolean isReadSince(long millis) {
        return currentAsOfMillis.isPresent() && currentAsOfMillis.getAsLong() >= millis;
    }

    /** Returns whether the store has been readable for at least this long. */
    boolean isStoreReadableFor(long millis, long nowMillis) {
        return !storeUnreadable && nowMillis - storeRegainedAtMillis >= millis;
    }

    /**
     * Removes entries that did not return in time after an outage, and forgets endpoints that departed too long ago.
     *
     * @return whether the list or the departed endpoints changed
     */
    public boolean expire(long nowMillis) {
        boolean changed = departed.expire(nowMillis);
        if (storeUnreadable) {
            return changed;
        }
        for (Map.Entry<EndpointId, Long> missing : ImmutableList.copyOf(missingUntilMillis.entrySet())) {
            if (nowMillis >= missing.getValue()) {
                missingUntilMillis.remove(missing.getKey());
                changed |= remove(missing.getKey(), nowMillis);
            }
        }
        return changed;
    }

    /**
     * Sets the configured services; endpoints of other services are not returned.
     *
     * <p>An entry of another writer may name an unknown service. Such an endpoint would get no task, but would be
     * considered ten times a second.
     */
    public void setServices(ImmutableSet<String> configured) {
        services = configured;
    }

    /** Sets the failure domains that are drained. */
    public void setDrainedDomains(ImmutableSet<FailureDomain> domains) {
        drainedDomains = domains;
    }

    /**
     * Returns the endpoints of a failure domain that may run tasks: those that {@link #inDomain} returns, and those
     * that departed recently, marked as draining.
     */
    public ImmutableList<EndpointEntry> inDomainWithDeparted(FailureDomain domain) {
        return ImmutableList.<EndpointEntry>builder()
                .addAll(inDomain(domain))
                .addAll(departed.entries().stream()
                        .filter(entry -> isServedIn(domain, entry))
                        .map(EndpointEntry::asDraining)
                        .iterator())
                .build();
    }

    /**
     * Returns the endpoints of a failure domain with a configured service, marked as draining if the domain is drained.
     */
    public ImmutableList<EndpointEntry> inDomain(FailureDomain domain) {
        boolean isDrained = drainedDomains.contains(domain);
        return entries.values().stream()
                .filter(entry -> isServedIn(domain, entry))
                .map(entry -> isDrained ? entry.asDraining() : entry)
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isServedIn(FailureDomain domain, EndpointEntry entry) {
        return entry.domain().equals(domain) && services.contains(entry.service());
    }

    /** Returns the number of listed endpoints in these failure domains. */
    public int countIn(Set<FailureDomain> domains) {
        int count = 0;
        for (EndpointEntry entry : entries.values()) {
            count += domains.contains(entry.domain()) ? 1 : 0;
        }
        return count;
    }

    /** Returns every listed endpoint, whatever its service. */
    public ImmutableList<EndpointEntry> all() {
        return ImmutableList.copyOf(entries.values());
    }
}
