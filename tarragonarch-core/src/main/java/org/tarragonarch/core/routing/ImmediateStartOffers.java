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
 * The holders to which one job is offered to start at once, before any may let it wait: that of its own failure domain,
 * and then a few others that have room.
 *
 * <p>Where no other has room, there are no such rounds, and the job goes to its own domain as it would without them.
 */
final class AtOnceRounds {
    /** Bounds what a job loses in rounds that lead to nothing: each costs a round trip between domains, about 2 ms. */
    private static final int MOST_NEIGHBOURS = 2;

    private final JobRequest job;
    private final Set<NodeId> asked = new HashSet<>();
    private int neighboursAsked;

    AtOnceRounds(JobRequest job) {
        this.job = job;
    }

    /**
     * Returns the next holder to ask, noted as asked; empty once the job may wait.
     *
     * @param inOrder the reachable holders in the order in which they are asked
     * @param mayBeOffered tells whether a holder may have the job now
     */
    Optional<Holder> next(ImmutableList<Holder> inOrder, Holders holders, Predicate<Holder> mayBeOffered) {
        Optional<Holder> own =
                inOrder.stream().findFirst().filter(holders::isOwn).filter(mayBeOffered);
        if (own.isEmpty() || neighboursAsked >= MOST_NEIGHBOURS) {
            return Optional.empty();
        }
        ImmutableList<RoomyHolder> roomy = holders.neighboursWithRoom(job.milliCores()).stream()
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
        Holder drawn = drawOne(roomy);
        asked.add(drawn.node());
        return Optional.of(drawn);
    }

    /** Returns the roomier of two holders that are drawn by the job's id. */
    private Holder drawOne(ImmutableList<RoomyHolder> roomy) {
        int count = roomy.size();
        HashFunction hash = Hashing.murmur3_128(neighboursAsked);
        long drawn = hash.hashString(job.id().value(), StandardCharsets.UTF_8).asLong();
        int first = (int) Long.remainderUnsigned(drawn, count);
        if (count == 1) {
            return roomy.get(first).holder();
        }
        int step = 1 + (int) Long.remainderUnsigned(Long.divideUnsigned(drawn, count), count - 1);
        RoomyHolder one = roomy.get(first);
        RoomyHolder other = roomy.get((first + step) % count);
        return (other.freeMilliCores() > one.freeMilliCores() ? other : one).holder();
    }
}
