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
 * <p>Guards against entries that lapse because the platform's store was away, while their endpoints live: they show as
 * deleted right after it is back, and return within {@value #RETURN_MILLIS} ms. Until that time is over a deleted entry
 * is kept; what is still missing then is gone.
 */
public final class EndpointList {
    /** The platform promises two seconds; the rest is for the way of the news. */
    private static final long RETURN_MILLIS = 2_500;

    /**
     * The oldest list by which a shard is taken: two readings of a node that needs it, and less than the two seconds in
     * which an endpoint that leaves has to be left.
     */
    private static final long FRESH_MILLIS = 1_800;

    private final Map<EndpointId, EndpointEntry> entries = new HashMap<>();
    private final Map<EndpointId, Long> missingUntil = new HashMap<>();
    private final DepartedEndpoints departed = new DepartedEndpoints();
    private final LatestIncarnations starts = new LatestIncarnations();
    private ImmutableSet<String> services = ImmutableSet.of();
    private ImmutableSet<FailureDomain> setDrainedDomains = ImmutableSet.of();
    private boolean storeAway;
    private long storeBackAtMillis = Long.MIN_VALUE / 2;
    private OptionalLong currentAsOfMillis = OptionalLong.empty();
    private long firstAsOfMillis;

    /** Creates an empty list. */
    public EndpointList() {}

    /** Returns whether nothing is listed. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Records an entry that the store has; returns whether that changes anything.
     *
     * <p>An entry of an earlier incarnation than the latest known is dropped. One without a start, where the endpoint
     * has told it before, is by another writer.
     */
    public boolean recordListed(EndpointEntry entry) {
        if (starts.lacksKnownStart(entry.incarnation())) {
            return recordOverwritten(entry.id());
        }
        return recordUnlessOver(entry);
    }

    /**
     * Records an entry that a peer has given; returns whether that changes anything.
     *
     * <p>A peer may not know the start, so its entry without one is no evidence of another writer.
     */
    public boolean recordFromPeer(EndpointEntry entry) {
        return !starts.lacksKnownStart(entry.incarnation()) && recordUnlessOver(entry);
    }

    private boolean recordUnlessOver(EndpointEntry entry) {
        if (starts.isSuperseded(entry.incarnation())) {
            return false;
        }
        starts.record(entry.incarnation());
        missingUntil.remove(entry.id());
        departed.remove(entry.id());
        return !Objects.equals(entries.put(entry.id(), entry), entry);
    }

    /** Records that an entry is no longer there; returns whether that changes anything now. */
    public boolean recordUnlisted(EndpointId id, long nowMillis) {
        if (storeAway || nowMillis - storeBackAtMillis < RETURN_MILLIS) {
            missingUntil.putIfAbsent(id, Math.max(nowMillis, storeBackAtMillis) + RETURN_MILLIS);
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
     * Records that something else stands where an entry stood; returns whether there was one.
     *
     * <p>Guards against an entry that another writer wrote over: what it says now is not the endpoint's word, so the
     * endpoint gets nothing new until its next heartbeat has put its own entry back.
     */
    public boolean recordOverwritten(EndpointId id) {
        missingUntil.remove(id);
        return entries.remove(id) != null;
    }

    /** Replaces the whole list; returns whether anything changed. */
    public boolean replaceAll(Iterable<EndpointEntry> all, long nowMillis) {
        boolean changed = false;
        Set<EndpointId> missing = new HashSet<>(entries.keySet());
        for (EndpointEntry entry : all) {
            changed |= recordListed(entry);
            missing.remove(entry.id());
        }
        for (EndpointId id : missing) {
            changed |= recordUnlisted(id, nowMillis);
        }
        return changed;
    }

    /** Notes that the store cannot be read. */
    public void recordStoreLost() {
        storeAway = true;
    }

    /** Notes that the store can be read again. */
    public void recordStoreRegained(long nowMillis) {
        if (storeAway) {
            storeAway = false;
            storeBackAtMillis = nowMillis;
        }
    }

    /** Notes as of when the list is all that the store has. */
    public void recordCurrentAsOf(long millis) {
        if (currentAsOfMillis.isEmpty()) {
            firstAsOfMillis = millis;
        }
        currentAsOfMillis = OptionalLong.of(millis);
    }

    /**
     * Returns whether every endpoint on which something may run is listed or known to have departed.
     *
     * <p>Guards against a node that has started after an endpoint had lost its entry.
     */
    boolean areDeparturesKnown(long nowMillis) {
        return currentAsOfMillis.isPresent() && nowMillis - firstAsOfMillis >= DepartedEndpoints.RETENTION_MILLIS;
    }

    /**
     * Returns whether the list is new enough to start tasks by, or is all that can be had.
     *
     * <p>Guards against a node that reads the list seldom, takes a shard, and starts tasks on an endpoint that said a
     * while ago that it leaves.
     */
    boolean isFresh(long nowMillis) {
        return storeAway || currentAsOfMillis.isEmpty() || nowMillis - currentAsOfMillis.getAsLong() <= FRESH_MILLIS;
    }

    /** Returns whether the list is all that the store had at this time or later, on the steady clock. */
    boolean isReadSince(long millis) {
        return currentAsOfMillis.isPresent() && currentAsOfMillis.getAsLong() >= millis;
    }

    /** Returns whether the store could be read for at least this long. */
    boolean isStoreReadableFor(long millis, long nowMillis) {
        return !storeAway && nowMillis - storeBackAtMillis >= millis;
    }

    /** Removes what has been missing, or was removed, for too long; returns whether there was anything. */
    public boolean expire(long nowMillis) {
        boolean changed = departed.expire(nowMillis);
        if (storeAway) {
            return changed;
        }
        for (Map.Entry<EndpointId, Long> missing : ImmutableList.copyOf(missingUntil.entrySet())) {
            if (nowMillis >= missing.getValue()) {
                missingUntil.remove(missing.getKey());
                changed |= remove(missing.getKey(), nowMillis);
            }
        }
        return changed;
    }

    /**
     * Records which services there are.
     *
     * <p>Guards against entries of another writer that name a service which nobody knows: such an endpoint would get no
     * task, but it would be looked at ten times a second.
     */
    public void setServices(ImmutableSet<String> known) {
        services = known;
    }

    /** Records which failure domains are drained. */
    public void setDrainedDomains(ImmutableSet<FailureDomain> domains) {
        setDrainedDomains = domains;
    }

    /**
     * Returns the endpoints of one failure domain on which something may run: those that {@link #inDomain} returns, and those
     * that were removed a short while ago, as draining.
     */
    public ImmutableList<EndpointEntry> inDomainWithDeparted(FailureDomain domain) {
        return ImmutableList.<EndpointEntry>builder()
                .addAll(inDomain(domain))
                .addAll(departed.entries().stream()
                        .filter(entry -> isIn(domain, entry))
                        .map(EndpointEntry::asDraining)
                        .iterator())
                .build();
    }

    /** Returns the endpoints of one failure domain that work for a service that there is; draining if the domain is. */
    public ImmutableList<EndpointEntry> inDomain(FailureDomain domain) {
        boolean isDrained = setDrainedDomains.contains(domain);
        return entries.values().stream()
                .filter(entry -> isIn(domain, entry))
                .map(entry -> isDrained ? entry.asDraining() : entry)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether the endpoint is one of the failure domain, and works for a service that there is. */
    private boolean isIn(FailureDomain domain, EndpointEntry entry) {
        return entry.domain().equals(domain) && services.contains(entry.service());
    }

    /** Returns how many endpoints there are in these failure domains together. */
    public int countIn(Set<FailureDomain> domains) {
        int count = 0;
        for (EndpointEntry entry : entries.values()) {
            count += domains.contains(entry.domain()) ? 1 : 0;
        }
        return count;
    }

    /** Returns every endpoint. */
    public ImmutableList<EndpointEntry> all() {
        return ImmutableList.copyOf(entries.values());
    }
}
