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
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;

/** The shards that this node holds; their endpoints form one pool. */
final class HeldShards {
    private final Map<FailureDomain, PlacedShard> shards = new LinkedHashMap<>();
    private final Predicate<FailureDomain> hasCompleteList;

    /**
     * Creates a pool without shards.
     *
     * @param hasCompleteList returns whether the list of endpoints of a shard is known to be complete
     */
    HeldShards(Predicate<FailureDomain> hasCompleteList) {
        this.hasCompleteList = hasCompleteList;
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

    /** Returns for each shard the capacity in use by share. */
    Iterable<ShareTally> tallies() {
        return Iterables.transform(shards.values(), PlacedShard::tally);
    }

    /** Normalizes the speeds of each service's endpoints to a mean of 1. */
    void normalizeSpeeds() {
        ListMultimap<String, EndpointSpeed> byService = ArrayListMultimap.create();
        endpoints().forEach(endpoint -> byService.put(endpoint.entry().service(), endpoint.speed()));
        Multimaps.asMap(byService).values().forEach(PoolSpeeds::normalize);
    }

    /** Reports each endpoint whose speed class has changed. */
    void reportSpeeds(PlacementObserver observer) {
        for (HeldEndpoint endpoint : endpoints()) {
            EndpointSpeed speed = endpoint.speed();
            if (speed.isReportDue()) {
                EndpointEntry entry = endpoint.entry();
                observer.speedChanged(entry.domain(), entry.id(), speed.reportedSpeed(), speed.classSpeed());
                speed.markReported();
            }
        }
    }

    Optional<PlacedShard> remove(FailureDomain domain) {
        return Optional.ofNullable(shards.remove(domain));
    }

    void closeAll() {
        shards.values().forEach(PlacedShard::close);
        shards.clear();
    }

    /** Returns the highest number of a run of the job that an unanswered order may still start; 0 if there is none. */
    int lastUnansweredRun(JobId job) {
        int last = 0;
        for (PlacedShard shard : shards.values()) {
            last = Math.max(last, shard.lastUnansweredRun(job));
        }
        return last;
    }

    /** Returns whether any endpoint, if it were idle, could run a task of the job. */
    boolean canHost(PlacedJob job) {
        for (HeldEndpoint endpoint : endpoints()) {
            if (endpoint.canHost(job.queue().service(), job.taskResources())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the largest free processor time of any endpoint that accepts tasks, in thousandths of a core. */
    long largestFreeMilliCores(long nowMillis) {
        long largest = 0;
        for (PlacedShard shard : shards.values()) {
            largest = Math.max(largest, shard.largestFreeMilliCores(nowMillis));
        }
        return largest;
    }

    /**
     * Returns whether all given shards are held and every run of the job on their endpoints is adopted or adoptable.
     *
     * <p>Guards against a task that runs twice after its shard changed holders. The runs of the lost holder appear in
     * the lists of the endpoints, so every list must be read under this holder's token, and the runs that cannot be
     * adopted must have ended. The time since this holder claimed the shard proves nothing, because an earlier holder
     * may have continued in a domain that was cut off. All the given shards must be held: one may have been released
     * since the job was offered, and its endpoints may still have runs.
     *
     * @param wanted the shards on which the earlier holder may have started runs of the job
     */
    boolean hasOnlyAdoptableRuns(JobId job, Set<FailureDomain> wanted) {
        return shards.keySet().containsAll(wanted)
                && wanted.stream().allMatch(hasCompleteList)
                && wanted.stream().allMatch(domain -> shards.get(domain).hasOnlyAdoptableRuns(job));
    }
}
