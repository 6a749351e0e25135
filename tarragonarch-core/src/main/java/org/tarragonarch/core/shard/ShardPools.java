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
 * The grouping of shards into pools, each held by one node.
 *
 * <p>The shards of a region's failure domains form one pool while the region has few endpoints. A job with many tasks
 * needs many free slots at once, which a small domain under load rarely has, while several such domains together nearly
 * always do, and the network distance within a region is short. A region with many endpoints has one pool per domain,
 * since one node could not place tasks for all of them and a single domain is large enough to even out its load.
 */
public final class ShardPools {
    /** The most endpoints of a region whose domains form one pool; one node places the tasks of a pool. */
    private static final int MAX_POOLED_ENDPOINTS = 96;

    /** The most endpoints at which a split region is pooled again; the gap keeps a region from alternating. */
    private static final int REPOOLED_ENDPOINTS = 80;

    private final ImmutableMap<FailureDomain, Region> regions;
    private final ImmutableSetMultimap<Region, FailureDomain> domains;
    private final EndpointList endpoints;
    private final Set<Region> splitRegions = new HashSet<>();

    /**
     * Creates the pools of a cluster.
     *
     * @param regions every failure domain with its region
     */
    public ShardPools(ImmutableMap<FailureDomain, Region> regions, EndpointList endpoints) {
        this.regions = checkNotNull(regions, "regions");
        this.endpoints = checkNotNull(endpoints, "endpoints");
        this.domains = ImmutableSetMultimap.copyOf(Multimaps.forMap(regions)).inverse();
    }

    /** Returns every failure domain; the endpoints of each form one shard. */
    public ImmutableSet<FailureDomain> shards() {
        return regions.keySet();
    }

    /** Splits or pools regions according to the number of endpoints now listed. */
    public void review() {
        for (Region region : domains.keySet()) {
            int listed = endpoints.countIn(domains.get(region));
            if (listed > MAX_POOLED_ENDPOINTS) {
                splitRegions.add(region);
            } else if (listed <= REPOOLED_ENDPOINTS) {
                splitRegions.remove(region);
            }
        }
    }

    /** Returns the shards that should have the same holder as this one, which is included. */
    public ImmutableSet<FailureDomain> poolOf(FailureDomain shard) {
        Region region = regions.get(shard);
        return region == null || splitRegions.contains(region) ? ImmutableSet.of(shard) : domains.get(region);
    }

    /** Returns whether two failure domains are in the same region, so that the network between them is fast. */
    public boolean areInSameRegion(FailureDomain first, FailureDomain second) {
        return regions.containsKey(first) && regions.get(first).equals(regions.get(second));
    }

    /**
     * Returns the failure domains whose nodes may take over shards from a node of this domain, which is included.
     *
     * <p>Pools are unknown until an endpoint is listed; until then only the domain itself is returned.
     */
    public ImmutableSet<FailureDomain> neighbourDomains(FailureDomain domain) {
        return endpoints.isEmpty() ? ImmutableSet.of(domain) : poolOf(domain);
    }
}
