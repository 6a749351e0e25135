package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;

/**
 * A node that places jobs on the shards that it holds.
 *
 * @param node the node
 * @param shards what it holds, at least one
 */
public record Holder(NodeId node, ImmutableList<HeldShard> shards) {
    /** Checks the parts. */
    public Holder {
        checkNotNull(node, "node");
        checkNotNull(shards, "shards");
    }

    /** Returns the failure domains whose endpoints it holds. */
    public ImmutableSet<FailureDomain> domains() {
        return shards.stream().map(HeldShard::domain).collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether it holds the endpoints of the failure domain. */
    public boolean holds(FailureDomain domain) {
        return shards.stream().anyMatch(held -> held.domain().equals(domain));
    }

    /** Returns the processor time that is free on its endpoints, in thousandths of a core. */
    public long freeMilliCores() {
        return shards.stream().mapToLong(HeldShard::freeMilliCores).sum();
    }

    /** Returns whether it has taken over every shard of a lost holder, so that it sees whatever runs there. */
    boolean isSuccessorOf(Holder lost) {
        return lost.shards().stream().allMatch(this::isSuccessorOf);
    }

    private boolean isSuccessorOf(HeldShard lost) {
        return shards.stream()
                .filter(held -> held.domain().equals(lost.domain()))
                .anyMatch(held -> held.token().compareTo(lost.token()) > 0);
    }
}
