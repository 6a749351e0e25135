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
    long nextWakeNanos() {
        return wakes.nextWakeNanos();
    }

    /** Wakes the endpoint at a time, for whatever is due then. */
    void scheduleWake(EndpointRecord endpoint, long nanos) {
        wakes.add(nanos, endpoint);
    }

    /** Wakes the endpoint for a probe. */
    void scheduleProbe(EndpointRecord endpoint, long nanos) {
        endpoint.nextProbeNanos(nanos);
        wakes.add(nanos, endpoint);
    }

    /** A connection to the endpoint did not come about; it is probed after a pause. */
    void markUnreachable(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.isUnreachable()) {
            pools.reachability(endpoint).recordUnreachable();
            EndpointNotes.emit(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), "unreachable", sink);
        } else if (endpoint.nextProbeNanos() != EndpointRecord.NEVER) {
            return;
        }
        long wait = endpoint.markUnreachable(nowNanos);
        scheduleProbe(endpoint, nowNanos + wait + random.nextLong(1 + wait / HealthPolicy.JITTER_DIVISOR));
    }

    /** The endpoint leaves; it is probed, in case it is back under the same address. */
    void markLeaving(EndpointRecord endpoint, String why, long nowNanos, ActionSink sink) {
        if (!endpoint.isLeaving()) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_LEAVING, endpoint.id(), why, sink);
        }
        endpoint.setLeaving(true, why);
        scheduleProbe(endpoint, nowNanos + HealthPolicy.LEAVING_PROBE_NANOS);
    }

    /** The endpoint has answered a probe as one that takes work. */
    void probeSucceeded(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        pools.reachability(endpoint).recordAnswer();
        boolean wasOut = endpoint.isLeaving() || endpoint.isUnreachable();
        if (endpoint.isLeaving()) {
            endpoint.setLeaving(false, "probe");
        }
        if (endpoint.isUnreachable()) {
            endpoint.markReachable();
        }
        if (endpoint.isQuarantined() && nowNanos >= endpoint.quarantinedUntilNanos()) {
            endpoint.startTrial();
        } else if (endpoint.isQuarantined()) {
            scheduleProbe(endpoint, endpoint.quarantinedUntilNanos());
        } else if (wasOut) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_READMITTED, endpoint.id(), "probe", sink);
        }
    }

    /** Probes the endpoint if that is still needed. */
    void probe(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.needsProbe()) {
            endpoint.nextProbeNanos(EndpointRecord.NEVER);
        } else if (endpoint.isQuarantined() && isTriedByPeer(endpoint)) {
            scheduleProbe(endpoint, nowNanos + HealthPolicy.PEER_TRIAL_WAIT_NANOS);
        } else {
            sink.emit(new ProbeEndpoint(endpoint.id(), endpoint.vm().address()));
            scheduleProbe(endpoint, nowNanos + HealthPolicy.PROBE_TIMEOUT_NANOS);
        }
    }

    /** Returns whether a peer holds the same endpoint in quarantine and comes first, so that only one tries it. */
    private boolean isTriedByPeer(EndpointRecord endpoint) {
        ImmutableSet<NodeId> others = peers.peersQuarantining(endpoint.id());
        return RendezvousHash.rank(self, others, endpoint.id().value()) > 0;
    }
}
