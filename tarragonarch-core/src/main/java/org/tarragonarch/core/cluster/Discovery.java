package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;

/** Decides whether a node that has just started knows enough of its neighbours to claim shards. */
public final class Discovery {
    private static final Comparator<Member> BY_RANK =
            Comparator.comparing((Member member) -> -member.milliCores()).thenComparing(Member::node);

    /**
     * How long the highest-ranked candidate waits for its neighbours' statuses before it claims, in milliseconds; some
     * neighbours may be gone for good.
     */
    private static final long LISTEN_MILLIS = 200;

    private Discovery() {}

    /**
     * Returns how long a node waits for its neighbours' statuses once it knows where they are, in milliseconds.
     *
     * <p>The delay grows with the node's rank. Guards against a small VM that starts slowly, claims before
     * it has read the holder's first status, and takes all endpoints from a node that carries several times its load.
     *
     * @param located every other node of the pool that is known of
     */
    public static long claimDelayMillis(Member own, ImmutableList<Member> located) {
        return LISTEN_MILLIS * (1 + higherRanked(own, located));
    }

    /**
     * Returns whether this node knows every holder that there can be.
     *
     * <p>That is so once all located nodes have sent a status. The highest-ranked candidate need not wait for the
     * slowest of them: a neighbour without a holder proves that it reaches none.
     *
     * @param located every other node of the pool that is known of
     * @param present the last status of each reachable node of the pool
     */
    public static boolean isComplete(Member own, ImmutableList<Member> located, ImmutableList<NodeStatus> present) {
        ImmutableSet<NodeId> reachable = present.stream().map(NodeStatus::node).collect(ImmutableSet.toImmutableSet());
        if (located.stream().map(Member::node).allMatch(reachable::contains)) {
            return true;
        }
        boolean nobodyHasAHolder = !present.isEmpty() && present.stream().allMatch(NodeStatus::withoutHolder);
        return nobodyHasAHolder && higherRanked(own, located) == 0;
    }

    /** Counts the nodes that are stronger than this one, or as strong and before it by name. */
    private static long higherRanked(Member own, ImmutableList<Member> located) {
        return located.stream().filter(other -> BY_RANK.compare(other, own) < 0).count();
    }
}
