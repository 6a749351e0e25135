package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;

/** Decides whether a node that has just started has heard enough of its peers to take shards. */
public final class Discovery {
    private Discovery() {}

    /**
     * Returns whether no holder can be missed by what was heard so far.
     *
     * <p>When every node starts at once, after a loss of power, the slowest to come up decides when all have been
     * heard; callers wait for that. A peer that misses a holder itself proves that there is none that it hears, so the
     * first by name of all that are known of need not wait for the rest. It is the one that the others wait for.
     *
     * @param located every other node that is known of
     * @param present the last status of each peer that can be heard
     */
    public static boolean enoughHeard(NodeId own, ImmutableSet<NodeId> located, ImmutableList<NodeStatus> present) {
        ImmutableSet<NodeId> heard = present.stream().map(NodeStatus::node).collect(ImmutableSet.toImmutableSet());
        if (heard.containsAll(located)) {
            return true;
        }
        boolean nobodyHasAHolder = !present.isEmpty() && present.stream().allMatch(NodeStatus::seeking);
        return nobodyHasAHolder && firstByName(own, located);
    }

    private static boolean firstByName(NodeId own, Set<NodeId> located) {
        return located.stream().allMatch(other -> own.compareTo(other) < 0);
    }
}
