package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;

/**
 * A node that holds shards and places jobs on them.
 *
 * @param shards the shards that the node holds, at least one
 */
public record Holder(NodeId node, ImmutableList<HeldShard> shards) {
    /**
     * Creates a holder.
     *
     * @throws NullPointerException if the node or the list of shards is null
     */
    public Holder {
        checkNotNull(node, "node");
        checkNotNull(shards, "shards");
    }

    /** Returns the failure domains of the shards. */
    public ImmutableSet<FailureDomain> domains() {
        return shards.stream().map(HeldShard::domain).collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether this node holds the shard of the failure domain. */
    public boolean holds(FailureDomain domain) {
        return shards.stream().anyMatch(held -> held.domain().equals(domain));
    }

    /** Returns the free processor time on the endpoints of the shards, in thousandths of a core. */
    public long freeMilliCores() {
        return shards.stream().mapToLong(HeldShard::freeMilliCores).sum();
    }

    /** Returns whether this node has claimed every shard of a lost holder, and therefore finds the runs there. */
    boolean isSuccessorOf(Holder lost) {
        return lost.shards().stream().allMatch(this::holdsUnderNewerToken);
    }

    /**
     * Returns whether this is a holder that was considered lost and has kept a shard all the time. It knows every run
     * that it has started.
     */
    boolean hasReturned(Holder lost) {
        return node.equals(lost.node()) && lost.shards().stream().anyMatch(this::holdsUnderSameToken);
    }

    private boolean holdsUnderSameToken(HeldShard lost) {
        return shards.stream()
                .anyMatch(held ->
                        held.domain().equals(lost.domain()) && held.token().equals(lost.token()));
    }

    private boolean holdsUnderNewerToken(HeldShard lost) {
        return shards.stream()
                .filter(held -> held.domain().equals(lost.domain()))
                .anyMatch(held -> held.token().compareTo(lost.token()) > 0);
    }
}
