package org.tarragonarch.core.placing;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Multimaps;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.tarragonarch.core.speed.PoolSpeeds;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;

/** The shards that this node holds, and all their endpoints as one pool. */
final class HeldShards {
    private final Map<FailureDomain, PlacedShard> shards = new LinkedHashMap<>();
    private final Predicate<FailureDomain> wholeList;

    /**
     * Creates a node's shards, none yet.
     *
     * @param wholeList tells whether a shard's list of endpoints can be taken for whole
     */
    HeldShards(Predicate<FailureDomain> wholeList) {
        this.wholeList = wholeList;
    }

    void add(FailureDomain domain, PlacedShard shard) {
        shards.put(domain, shard);
    }

    Optional<PlacedShard> find(FailureDomain domain) {
        return Optional.ofNullable(shards.get(domain));
    }

    Optional<FencingToken> token(FailureDomain domain) {
        return find(domain).map(PlacedShard::token);
    }

    ImmutableSet<FailureDomain> domains() {
        return ImmutableSet.copyOf(shards.keySet());
    }

    Iterable<HeldEndpoint> endpoints() {
        return Iterables.concat(Iterables.transform(shards.values(), PlacedShard::endpoints));
    }

    /** Returns what runs take, by share, of each shard. */
    Iterable<ShareTally> tallies() {
        return Iterables.transform(shards.values(), PlacedShard::tally);
    }

    /** Keeps the mean speed of each service's endpoints at 1. */
    void normalizeSpeeds() {
        ListMultimap<String, EndpointSpeed> byService = ArrayListMultimap.create();
        endpoints().forEach(endpoint -> byService.put(endpoint.entry().service(), endpoint.speed()));
        Multimaps.asMap(byService).values().forEach(PoolSpeeds::normalize);
    }

    Optional<PlacedShard> remove(FailureDomain domain) {
        return Optional.ofNullable(shards.remove(domain));
    }

    void closeAll() {
        shards.values().forEach(PlacedShard::close);
        shards.clear();
    }

    /** Returns whether any endpoint, were it idle, could be given a task of the job. */
    boolean canHost(PlacedJob job) {
        for (HeldEndpoint endpoint : endpoints()) {
            if (endpoint.canHost(job.queue().service(), job.taskResources())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the most processor time that is free on one endpoint that takes tasks, in thousandths of a core. */
    long largestFreeMilliCores(long nowMillis) {
        long roomiest = 0;
        for (PlacedShard shard : shards.values()) {
            roomiest = Math.max(roomiest, shard.largestFreeMilliCores(nowMillis));
        }
        return roomiest;
    }

    /**
     * Returns whether no run of the job can be on endpoints of these shards but those that it has adopted.
     *
     * <p>Guards against a task that runs twice after its shard changed hands: the lost holder's runs show on the
     * endpoints' lists, and are over when each list was read under this holder's token and cleared. How long this
     * holder has had the shard says nothing: while a domain was cut off, the other may have gone on there. Nor does
     * what it holds now if the shard is not part of it, as when it has released it since the job was offered.
     */
    boolean readyFor(JobId job, Set<FailureDomain> wanted) {
        return shards.keySet().containsAll(wanted)
                && wanted.stream().allMatch(wholeList)
                && wanted.stream().allMatch(domain -> shards.get(domain).readyFor(job));
    }
}
