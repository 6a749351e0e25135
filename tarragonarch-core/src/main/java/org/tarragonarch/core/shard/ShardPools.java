package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import com.google.common.collect.Multimaps;
import java.util.HashSet;
import java.util.Set;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Region;

/**
 * Which shards one node holds together.
 *
 * <p>The shards of a region's failure domains are one pool while its endpoints are few. A wide job needs many places at
 * once, which a small domain under load hardly ever has free, and several such domains together nearly always do.
 * Endpoints of other domains of the region are near. A region with many endpoints has a pool in each domain, since one
 * node could not place for all of them, and a domain alone is large enough to even out.
 */
public final class ShardPools {
    /** With more endpoints than this a region's domains are pools of their own, since one node places for a pool. */
    private static final int MOST_POOLED = 96;

    /** A region that was taken apart is one pool again with no more than this; between the two nothing changes. */
    private static final int POOLED_AGAIN = 80;

    private final ImmutableMap<FailureDomain, Region> regions;
    private final ImmutableSetMultimap<Region, FailureDomain> domains;
    private final EndpointList endpoints;
    private final Set<Region> apart = new HashSet<>();

    /**
     * Creates the pools of a cluster.
     *
     * @param regions every failure domain with the region it lies in
     */
    public ShardPools(ImmutableMap<FailureDomain, Region> regions, EndpointList endpoints) {
        this.regions = checkNotNull(regions, "regions");
        this.endpoints = checkNotNull(endpoints, "endpoints");
        this.domains = ImmutableSetMultimap.copyOf(Multimaps.forMap(regions)).inverse();
    }

    /** Returns every failure domain; each has one shard, the endpoints that stand there. */
    public ImmutableSet<FailureDomain> shards() {
        return regions.keySet();
    }

    /** Records how many endpoints there are now. */
    public void review() {
        for (Region region : domains.keySet()) {
            int listed = endpoints.countIn(domains.get(region));
            if (listed > MOST_POOLED) {
                apart.add(region);
            } else if (listed <= POOLED_AGAIN) {
                apart.remove(region);
            }
        }
    }

    /** Returns the shards that should have the same holder as this one, and it. */
    public ImmutableSet<FailureDomain> poolOf(FailureDomain shard) {
        Region region = regions.get(shard);
        return region == null || apart.contains(region) ? ImmutableSet.of(shard) : domains.get(region);
    }

    /** Returns whether two failure domains lie in one region, and so near each other. */
    public boolean areInSameRegion(FailureDomain first, FailureDomain second) {
        return regions.containsKey(first) && regions.get(first).equals(regions.get(second));
    }

    /**
     * Returns the failure domains whose nodes may succeed each other as a holder, for a node of one of them.
     *
     * <p>Before any endpoint is known it cannot be told which domains go together; the own one does in any case.
     */
    public ImmutableSet<FailureDomain> neighbours(FailureDomain domain) {
        return endpoints.isEmpty() ? ImmutableSet.of(domain) : poolOf(domain);
    }
}
