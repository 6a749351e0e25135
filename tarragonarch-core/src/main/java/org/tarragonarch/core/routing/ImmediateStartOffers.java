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
 * The sequence of holders to which one job is offered under the terms {@code AT_ONCE}, before any holder may let it
 * wait: that of its own failure domain, and then a few of other domains that have room.
 *
 * <p>Where no other domain has room, the sequence is empty, and the job is offered to its own domain to wait there.
 */
final class ImmediateStartOffers {
    /** The other domains that one job is offered to; each refusal costs a round trip between domains, about 2 ms. */
    private static final int MAX_NEIGHBOURS = 2;

    private final JobRequest job;
    private final Set<NodeId> asked = new HashSet<>();
    private int neighboursAsked;

    ImmediateStartOffers(JobRequest job) {
        this.job = job;
    }

    /**
     * Returns the next holder and counts it as asked; empty once the job may wait.
     *
     * @param inOrder the reachable holders in the order in which they are asked
     * @param mayBeOffered returns whether the job may be offered to a holder now
     */
    Optional<Holder> next(ImmutableList<Holder> inOrder, Holders holders, Predicate<Holder> mayBeOffered) {
        Optional<Holder> own =
                inOrder.stream().findFirst().filter(holders::holdsOwnDomain).filter(mayBeOffered);
        if (own.isEmpty() || neighboursAsked >= MAX_NEIGHBOURS) {
            return Optional.empty();
        }
        ImmutableList<HolderCapacity> roomy = holders.neighboursWithCapacity(job.milliCores()).stream()
                .filter(neighbour -> !asked.contains(neighbour.holder().node()))
                .filter(neighbour -> mayBeOffered.test(neighbour.holder()))
                .collect(ImmutableList.toImmutableList());
        if (roomy.isEmpty()) {
            return Optional.empty();
        }
        if (asked.add(own.get().node())) {
            return own;
        }
        neighboursAsked++;
        Holder chosen = chooseOne(roomy);
        asked.add(chosen.node());
        return Optional.of(chosen);
    }

    /**
     * Returns the one with more room of two holders that are selected by a hash of the job's id (power of two choices),
     * so that jobs spread over the holders.
     */
    private Holder chooseOne(ImmutableList<HolderCapacity> roomy) {
        int count = roomy.size();
        HashFunction hash = Hashing.murmur3_128(neighboursAsked);
        long hashed = hash.hashString(job.id().value(), StandardCharsets.UTF_8).asLong();
        int first = (int) Long.remainderUnsigned(hashed, count);
        if (count == 1) {
            return roomy.get(first).holder();
        }
        int step = 1 + (int) Long.remainderUnsigned(Long.divideUnsigned(hashed, count), count - 1);
        HolderCapacity one = roomy.get(first);
        HolderCapacity other = roomy.get((first + step) % count);
        return (other.freeMilliCores() > one.freeMilliCores() ? other : one).holder();
    }
}
