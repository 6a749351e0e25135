package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * What a node reports of itself to its peers, a few times a second; doubles as its heartbeat.
 *
 * @param node the node
 * @param domain where it stands
 * @param address where it takes frames
 * @param milliCores the processor time that it may use, in thousandths of a core
 * @param leaving whether it is shutting down
 * @param withoutHolder whether it misses the holder of a shard and wants to hear every peer often
 * @param configurationVersion the version in force there, 0 for none
 * @param drained the failure domains that it knows to be drained
 * @param shards the shards that it holds
 */
public record NodeStatus(
        NodeId node,
        FailureDomain domain,
        Address address,
        int milliCores,
        boolean leaving,
        boolean withoutHolder,
        long configurationVersion,
        DrainedDomains drained,
        ImmutableList<HeldShard> shards) {
    /** Checks the parts. */
    public NodeStatus {
        checkNotNull(node, "node");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkArgument(milliCores > 0, "milliCores %s is not positive", milliCores);
        checkNotNull(drained, "drained");
        checkNotNull(shards, "shards");
    }

    /** Returns who the node is. */
    public Member member() {
        return new Member(node, domain, address, milliCores);
    }

    /** Returns the same status with these shards. */
    public NodeStatus withShards(ImmutableList<HeldShard> held) {
        return new NodeStatus(
                node, domain, address, milliCores, leaving, withoutHolder, configurationVersion, drained, held);
    }
}
