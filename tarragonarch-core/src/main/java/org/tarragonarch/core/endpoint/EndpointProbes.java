package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.model.id.NodeId;

/** Probes endpoints that are out of use, and decides what an answer, or none, means for them. */
final class EndpointProbes {
    private final NodeId self;
    private final Random random;
    private final EndpointPools pools;
    private final PeerViews peers;
    private final WakeQueue wakes = new WakeQueue();

    EndpointProbes(NodeId self, Random random, EndpointPools pools, PeerViews peers) {
        this.self = self;
        this.random = random;
        this.pools = pools;
        this.peers = peers;
    }

    /** Returns the next endpoint that is due, if there is one. */
    Optional<EndpointRecord> pollDue(long nowNanos) {
        return wakes.pollDue(nowNanos);
    }

    /** Returns when the next endpoint is due; {@code Long.MAX_VALUE} for never. */
    long nextNanos() {
        return wakes.nextNanos();
    }

    /** Wakes the endpoint at a time, for whatever is due then. */
    void wakeAt(EndpointRecord endpoint, long nanos) {
        wakes.add(nanos, endpoint);
    }

    /** Wakes the endpoint for a probe. */
    void schedule(EndpointRecord endpoint, long nanos) {
        endpoint.wakeNanos(nanos);
        wakes.add(nanos, endpoint);
    }

    /** A connection to the endpoint did not come about; it is probed after a pause. */
    void unreachable(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.isUnreachable()) {
            pools.reach(endpoint).unreachable();
            EndpointNotes.emit(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), "unreachable", sink);
        } else if (endpoint.wakeNanos() != EndpointRecord.NEVER) {
            return;
        }
        long wait = endpoint.unreachable(nowNanos);
        schedule(endpoint, nowNanos + wait + random.nextLong(1 + wait / HealthPolicy.JITTER_PART));
    }

    /** The endpoint leaves; it is probed, in case it is back under the same address. */
    void leaves(EndpointRecord endpoint, String why, long nowNanos, ActionSink sink) {
        if (!endpoint.isLeaving()) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_LEAVING, endpoint.id(), why, sink);
        }
        endpoint.leaving(true, why);
        schedule(endpoint, nowNanos + HealthPolicy.LEAVING_PROBE_NANOS);
    }

    /** The endpoint has answered a probe as one that takes work. */
    void answered(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        pools.reach(endpoint).answered();
        boolean wasOut = endpoint.isLeaving() || endpoint.isUnreachable();
        if (endpoint.isLeaving()) {
            endpoint.leaving(false, "probe");
        }
        if (endpoint.isUnreachable()) {
            endpoint.reachable();
        }
        if (endpoint.isConvicted() && nowNanos >= endpoint.convictedUntilNanos()) {
            endpoint.startTrial();
        } else if (endpoint.isConvicted()) {
            schedule(endpoint, endpoint.convictedUntilNanos());
        } else if (wasOut) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_READMITTED, endpoint.id(), "probe", sink);
        }
    }

    /** Probes the endpoint if that is still needed. */
    void probe(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.needsProbe()) {
            endpoint.wakeNanos(EndpointRecord.NEVER);
        } else if (endpoint.isConvicted() && isTriedByPeer(endpoint)) {
            schedule(endpoint, nowNanos + HealthPolicy.TRIAL_BY_PEER_NANOS);
        } else {
            sink.emit(new ProbeEndpoint(endpoint.id(), endpoint.vm().address()));
            schedule(endpoint, nowNanos + HealthPolicy.PROBE_TIMEOUT_NANOS);
        }
    }

    /** Returns whether a peer holds the same endpoint in quarantine and comes first, so that only one tries it. */
    private boolean isTriedByPeer(EndpointRecord endpoint) {
        ImmutableSet<NodeId> others = peers.quarantining(endpoint.id());
        return RendezvousHash.rank(self, others, endpoint.id().value()) > 0;
    }
}
