package org.tarragonarch.core.endpoint;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;

/** Applies reports of peers to this node's records: load, leaving endpoints and quarantine. */
final class PeerEffects {
    private final EndpointRecords records;
    private final EndpointPools pools;
    private final EndpointProbes probes;

    PeerEffects(EndpointRecords records, EndpointPools pools, EndpointProbes probes) {
        this.records = records;
        this.pools = pools;
        this.probes = probes;
    }

    /** Returns a listener that applies the changes of an event at the given time. */
    PeerViews.Listener listenerAt(long nowNanos, ActionSink sink) {
        return new PeerViews.Listener() {
            @Override
            public void loadChanged(EndpointId id, int delta) {
                records.find(id).ifPresent(endpoint -> {
                    endpoint.slots().addPeersInFlight(delta);
                    records.refresh(endpoint, nowNanos);
                });
            }

            @Override
            public void leavingReported(EndpointId id, NodeId peer) {
                records.find(id).ifPresent(endpoint -> {
                    probes.markLeaving(endpoint, "peer " + peer, nowNanos, sink);
                    records.refresh(endpoint, nowNanos);
                });
            }

            @Override
            public void quarantineChanged(EndpointId id, int delta) {
                records.find(id).ifPresent(endpoint -> {
                    endpoint.adjustPeerQuarantines(delta);
                    updatePeerQuarantine(endpoint, nowNanos, sink);
                });
            }
        };
    }

    /**
     * Quarantines an endpoint while a peer holds it in quarantine, before it fails tasks of this node as well.
     *
     * <p>If no more endpoints may be quarantined, the endpoint is only suspected and gets one task at a time.
     */
    void updatePeerQuarantine(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        boolean quarantinedAtPeers = endpoint.isQuarantinedAtPeers();
        if (quarantinedAtPeers == endpoint.isQuarantinedForPeers()) {
            return;
        }
        if (!quarantinedAtPeers) {
            endpoint.setQuarantinedForPeers(false);
        } else if (pools.canQuarantine(endpoint)) {
            endpoint.setQuarantinedForPeers(true);
            EndpointNotes.emit(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), endpoint.reason(), sink);
        } else {
            endpoint.markSuspected();
        }
        records.refresh(endpoint, nowNanos);
    }
}
