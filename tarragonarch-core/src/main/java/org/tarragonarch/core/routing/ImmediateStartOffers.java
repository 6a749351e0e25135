package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobRequest;

/**
 * The sequence of holders to which one job is offered under the terms {@code AT_ONCE}, before any holder may queue it:
 * the holder of the origin's own failure domain, and then some of other domains with enough free capacity.
 *
 * <p>If no other domain has enough free capacity, the sequence is empty, and the holder of the origin's own domain may
 * queue the job.
 */
final class ImmediateStartOffers {
    /** The most neighbours that one job is offered to; a refusal costs a round trip between domains, about 2 ms. */
    private static final int MAX_NEIGHBOURS = 2;

    private final JobRequest job;
    private final Set<NodeId> offeredTo = new HashSet<>();
    private int neighbourCount;

    ImmediateStartOffers(JobRequest job) {
        this.job = job;
    }

    /**
     * Returns the next holder of the sequence and marks it as used; empty at the end of the sequence.
     *
     * @param inOrder the reachable holders in order of preference
     * @param mayBeOffered returns whether the job may be offered to a holder now
     */
    Optional<Holder> next(ImmutableList<Holder> inOrder, Holders holders, Predicate<Holder> mayBeOffered) {
        Optional<Holder> own =
                inOrder.stream().findFirst().filter(holders::holdsOwnDomain).filter(mayBeOffered);
        if (own.isEmpty() || neighbourCount >= MAX_NEIGHBOURS) {
            return Optional.empty();
        }
        ImmutableList<HolderCapacity> candidates = holders.neighboursWithCapacity(job.milliCores()).stream()
                .filter(neighbour -> !offeredTo.contains(neighbour.holder().node()))
                .filter(neighbour -> mayBeOffered.test(neighbour.holder()))
                .collect(ImmutableList.toImmutableList());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (offeredTo.add(own.get().node())) {
            return own;
        }
        neighbourCount++;
        Holder chosen = chooseOne(candidates);
        offeredTo.add(chosen.node());
        return Optional.of(chosen);
    }

    /**
     * Selects two holders by a hash of the job's id and returns the one with more free capacity (power of two choices),
     * so that jobs spread over the holders.
     */
    private Holder chooseOne(ImmutableList<HolderCapacity> candidates) {
        int count = candidates.size();
        HashFunction hash = Hashing.murmur3_128(neighbourCount);
        long hashed = hash.hashString(job.id().value(), StandardCharsets.UTF_8).asLong();
        int first = (int) Long.remainderUnsigned(hashed, count);
        if (count == 1) {
            return candidates.get(first).holder();
        }
        int step = 1 + (int) Long.remainderUnsigned(Long.divideUnsigned(hashed, count), count - 1);
        HolderCapacity one = candidates.get(first);
        HolderCapacity other = candidates.get((first + step) % count);
        return (other.freeMilliCores() > one.freeMilliCores() ? other : one).holder();
    }
}
