package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRecord;

/** The records of all known endpoints; keeps pools, shares and probes consistent with them. */
final class EndpointRecords {
    private final NodeId self;
    private final EndpointPools pools;
    private final EndpointProbes probes;
    private final Map<EndpointId, EndpointRecord> records = new LinkedHashMap<>();
    private ImmutableSet<NodeId> aliveNodes;

    EndpointRecords(NodeId self, EndpointPools pools, EndpointProbes probes) {
        this.self = self;
        this.pools = pools;
        this.probes = probes;
        this.aliveNodes = ImmutableSet.of(self);
    }

    /** Returns a live view of the records by id. */
    Map<EndpointId, EndpointRecord> byId() {
        return records;
    }

    Optional<EndpointRecord> find(EndpointId id) {
        return Optional.ofNullable(records.get(id));
    }

    /** Returns a copy of the records, so that callers may remove records while iterating. */
    ImmutableList<EndpointRecord> snapshot() {
        return ImmutableList.copyOf(records.values());
    }

    /** Returns whether the record is still the current one of its endpoint. */
    boolean contains(EndpointRecord endpoint) {
        return records.get(endpoint.id()) == endpoint;
    }

    void add(EndpointRecord endpoint) {
        records.put(endpoint.id(), endpoint);
    }

    /** Returns the live nodes of the own failure domain, including this one, which share the endpoints. */
    ImmutableSet<NodeId> aliveNodes() {
        return aliveNodes;
    }

    void aliveNodes(ImmutableSet<NodeId> nowAlive) {
        aliveNodes = nowAlive;
    }

    /** Recomputes this node's share of the slots of each endpoint. */
    void updateShares(long nowNanos) {
        for (EndpointRecord endpoint : snapshot()) {
            updateShare(endpoint);
            refresh(endpoint, nowNanos);
        }
    }

    /** Recomputes this node's share of the slots of an endpoint. */
    void updateShare(EndpointRecord endpoint) {
        VmRecord vm = endpoint.vm();
        int rank = RendezvousHash.rank(self, aliveNodes, vm.name());
        int home = RendezvousHash.share(rank, aliveNodes.size(), vm.slots());
        endpoint.slots().resize(vm.slots(), pools.isInOwnDomain(endpoint) ? home : 0);
    }

    /** Updates the pools after a change to an endpoint, and removes it if it is unlisted and idle. */
    void refresh(EndpointRecord endpoint, long nowNanos) {
        if (!endpoint.isListed() && endpoint.slots().ownInFlight() == 0) {
            pools.remove(endpoint);
            records.remove(endpoint.id());
            return;
        }
        pools.update(endpoint, nowNanos);
        if (endpoint.needsProbe() && endpoint.nextProbeNanos() == EndpointRecord.NEVER) {
            probes.scheduleProbe(endpoint, nowNanos + HealthPolicy.LEAVING_PROBE_NANOS);
        }
    }
}
