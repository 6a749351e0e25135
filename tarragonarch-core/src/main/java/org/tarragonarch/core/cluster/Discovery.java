package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;

/** Decides whether a node that has just started has heard enough of its neighbours to take shards. */
public final class Discovery {
    private static final Comparator<Member> FIRST_IN_LINE =
            Comparator.comparing((Member member) -> -member.milliCores()).thenComparing(Member::node);

    /**
     * How long the first in line, which knows where its neighbours are, waits to hear them all before it claims
     * anything, in milliseconds: a connection and the statuses over it take some 50 on a node that has just started.
     * Some may be gone for good.
     */
    private static final long PATIENCE_MILLIS = 200;

    private Discovery() {}

    /**
     * Returns how long a node waits to hear its neighbours once it knows where they are, in milliseconds.
     *
     * <p>Each node that goes before this one adds as much. Guards against a small VM that starts slowly, claims before
     * it has read the holder's first status, and takes all endpoints from a node that carries several times its load.
     *
     * @param located every other node of the pool that is known of
     */
    public static long patienceMillis(Member own, ImmutableList<Member> located) {
        return PATIENCE_MILLIS * (1 + goingBefore(own, located));
    }

    /**
     * Returns whether no holder can be missed by what was heard so far.
     *
     * <p>When every node starts at once, after a loss of power, the slowest to come up decides when all have been
     * heard; callers wait for that. A neighbour that misses a holder itself proves that there is none that it hears, so
     * the first in line of all that are known of need not wait for the rest. It is the one that the others wait for.
     *
     * @param located every other node of the pool that is known of
     * @param present the last status of each node of the pool that can be heard
     */
    public static boolean enoughReceived(Member own, ImmutableList<Member> located, ImmutableList<NodeStatus> present) {
        ImmutableSet<NodeId> heard = present.stream().map(NodeStatus::node).collect(ImmutableSet.toImmutableSet());
        if (located.stream().map(Member::node).allMatch(heard::contains)) {
            return true;
        }
        boolean nobodyHasAHolder = !present.isEmpty() && present.stream().allMatch(NodeStatus::withoutHolder);
        return nobodyHasAHolder && goingBefore(own, located) == 0;
    }

    /** Counts the nodes that are stronger than this one, or as strong and before it by name. */
    private static long goingBefore(Member own, ImmutableList<Member> located) {
        return located.stream()
                .filter(other -> FIRST_IN_LINE.compare(other, own) < 0)
                .count();
    }
}
