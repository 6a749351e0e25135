package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;

/** Rules for when a node that has just started knows enough of its neighbours to claim shards. */
public final class Discovery {
    private static final Comparator<Member> BY_RANK =
            Comparator.comparing((Member member) -> -member.milliCores()).thenComparing(Member::node);

    /**
     * The time that the highest-ranked candidate waits for its neighbours' statuses before it claims, in milliseconds;
     * bounded because some neighbours may never return.
     */
    private static final long LISTEN_MILLIS = 200;

    /**
     * The longest wait, in milliseconds, however many nodes are known. A node that lives has sent its status by then;
     * those that have not may be gone for good. Of the others, the highest-ranked one claims.
     */
    private static final long LONGEST_LISTEN_MILLIS = 2_000;

    private Discovery() {}

    /**
     * Returns the time that a node waits for its neighbours' statuses once their addresses are known, in milliseconds.
     *
     * <p>The delay grows with the number of higher-ranked nodes. Guards against a small VM that starts slowly, claims
     * before it has read the holder's first status, and takes all endpoints from a node that carries several times its
     * load. The delay is bounded, because nothing removes the nodes that are gone for good from those that are located.
     *
     * @param located every other known node of the pool
     */
    public static long claimDelayMillis(Member own, ImmutableList<Member> located) {
        return Math.min(LONGEST_LISTEN_MILLIS, LISTEN_MILLIS * (1 + higherRanked(own, located)));
    }

    /**
     * Returns whether this node knows of every holder that may exist.
     *
     * <p>This holds once all located nodes have sent a status. The highest-ranked candidate need not wait for the
     * slowest of them if every status received reports a shard without a reachable holder, since a neighbour that
     * reports this reaches no holder itself.
     *
     * @param located every other known node of the pool
     * @param present the last status of each reachable node of the pool
     */
    public static boolean isComplete(Member own, ImmutableList<Member> located, ImmutableList<NodeStatus> present) {
        ImmutableSet<NodeId> reachable = present.stream().map(NodeStatus::node).collect(ImmutableSet.toImmutableSet());
        if (located.stream().map(Member::node).allMatch(reachable::contains)) {
            return true;
        }
        boolean noneHasHolder = !present.isEmpty() && present.stream().allMatch(NodeStatus::missesHolder);
        return noneHasHolder && higherRanked(own, located) == 0;
    }

    /** Counts the nodes with more processor time than this one, or as much and a smaller id. */
    private static long higherRanked(Member own, ImmutableList<Member> located) {
        return located.stream().filter(other -> BY_RANK.compare(other, own) < 0).count();
    }
}
