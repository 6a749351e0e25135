package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * The status that a node sends to its peers several times a second; it is also the node's heartbeat.
 *
 * @param node the node
 * @param domain the failure domain of the node
 * @param address the address at which the node receives frames
 * @param milliCores the processor time that the node may use, in thousandths of a core
 * @param leaving whether the node is shutting down
 * @param missesHolder whether the node knows no holder of some shard, and so needs frequent statuses of every peer
 * @param configurationVersion the version in force at the node, 0 for none
 * @param drained the failure domains that the node knows to be drained
 * @param shards the shards that the node holds
 * @param number identifies the status
 * @param received the number of the last status that the node has received from each reachable holder
 */
public record NodeStatus(
        NodeId node,
        FailureDomain domain,
        Address address,
        int milliCores,
        boolean leaving,
        boolean missesHolder,
        long configurationVersion,
        DrainedDomains drained,
        ImmutableList<HeldShard> shards,
        StatusNumber number,
        ImmutableMap<NodeId, StatusNumber> received) {
    /** Checks that no component is null and the processor time is positive. */
    public NodeStatus {
        checkNotNull(node, "node");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkArgument(milliCores > 0, "milliCores %s is not positive", milliCores);
        checkNotNull(drained, "drained");
        checkNotNull(shards, "shards");
        checkNotNull(number, "number");
        checkNotNull(received, "received");
    }

    /** Creates a status without a number, of a node that has received none. */
    public NodeStatus(
            NodeId node,
            FailureDomain domain,
            Address address,
            int milliCores,
            boolean leaving,
            boolean missesHolder,
            long configurationVersion,
            DrainedDomains drained,
            ImmutableList<HeldShard> shards) {
        this(
                node,
                domain,
                address,
                milliCores,
                leaving,
                missesHolder,
                configurationVersion,
                drained,
                shards,
                StatusNumber.NONE,
                ImmutableMap.of());
    }

    /** Returns the identity of the node. */
    public Member member() {
        return new Member(node, domain, address, milliCores);
    }

    /** Returns the same status with these shards. */
    public NodeStatus withShards(ImmutableList<HeldShard> held) {
        return new NodeStatus(
                node,
                domain,
                address,
                milliCores,
                leaving,
                missesHolder,
                configurationVersion,
                drained,
                held,
                number,
                received);
    }

    /**
     * Returns the same status with this number.
     *
     * @param lastReceived the number of the last status that the node has received from each reachable holder
     */
    public NodeStatus withNumber(StatusNumber own, ImmutableMap<NodeId, StatusNumber> lastReceived) {
        return new NodeStatus(
                node,
                domain,
                address,
                milliCores,
                leaving,
                missesHolder,
                configurationVersion,
                drained,
                shards,
                own,
                lastReceived);
    }

    /** Returns the number of the last status that the node has received from a holder. */
    public StatusNumber receivedFrom(NodeId holder) {
        return received.getOrDefault(holder, StatusNumber.NONE);
    }
}
