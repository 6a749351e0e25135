package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.model.id.NodeId;

/** Probes endpoints that are out of use and updates them from the results. */
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

    /** Removes and returns an endpoint that is due, if there is one. */
    Optional<EndpointRecord> pollDue(long nowNanos) {
        return wakes.pollDue(nowNanos);
    }

    /** Returns when the next endpoint is due; {@code Long.MAX_VALUE} if none is waiting. */
    long nextWakeNanos() {
        return wakes.nextWakeNanos();
    }

    /** Schedules a check of the endpoint at the given time. */
    void scheduleWake(EndpointRecord endpoint, long nanos) {
        wakes.add(nanos, endpoint);
    }

    /** Schedules a probe of the endpoint at the given time. */
    void scheduleProbe(EndpointRecord endpoint, long nanos) {
        endpoint.nextProbeNanos(nanos);
        wakes.add(nanos, endpoint);
    }

    /** Records that a connection to the endpoint failed, and schedules a probe after a backoff. */
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

    /** Marks the endpoint as leaving, and schedules a probe in case it returns at the same address. */
    void markLeaving(EndpointRecord endpoint, String reason, long nowNanos, ActionSink sink) {
        if (!endpoint.isLeaving()) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_LEAVING, endpoint.id(), reason, sink);
        }
        endpoint.setLeaving(true, reason);
        scheduleProbe(endpoint, nowNanos + HealthPolicy.LEAVING_PROBE_NANOS);
    }

    /** Records that the endpoint answered a probe and accepts tasks. */
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

    /** Probes the endpoint if a probe is still needed. */
    void probe(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.needsProbe()) {
            endpoint.nextProbeNanos(EndpointRecord.NEVER);
        } else if (endpoint.isQuarantined() && isTrialLeftToPeer(endpoint)) {
            scheduleProbe(endpoint, nowNanos + HealthPolicy.PEER_TRIAL_WAIT_NANOS);
        } else {
            sink.emit(new ProbeEndpoint(endpoint.id(), endpoint.vm().address()));
            scheduleProbe(endpoint, nowNanos + HealthPolicy.PROBE_TIMEOUT_NANOS);
        }
    }

    /** Returns whether a peer that ranks before this node also quarantines the endpoint; only one node tries it. */
    private boolean isTrialLeftToPeer(EndpointRecord endpoint) {
        ImmutableSet<NodeId> quarantining = peers.peersQuarantining(endpoint.id());
        return RendezvousHash.rank(self, quarantining, endpoint.id().value()) > 0;
    }
}
