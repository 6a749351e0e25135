package org.tarragonarch.core.node;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.event.EndpointDrainRequested;
import org.tarragonarch.core.event.ProbeEnded;

/** Handles the ends of probes and requests to drain single endpoints. */
final class EndpointHandler {
    private final NodeParts parts;

    EndpointHandler(NodeParts parts) {
        this.parts = parts;
    }

    void register(EventHandlers handlers) {
        handlers.register(ProbeEnded.class, this::probeEnded);
        handlers.register(EndpointDrainRequested.class, this::drain);
    }

    void timePassed(long nowNanos, ActionSink sink) {
        if (parts.endpoints.nextWakeNanos() <= nowNanos) {
            // The wait of an endpoint may end at any event, and tasks of any service may be queued for it.
            parts.dispatcher.markAllServicesChanged();
        }
        parts.endpoints.timePassed(nowNanos, sink);
    }

    private void probeEnded(ProbeEnded ended, long nowNanos, ActionSink sink) {
        parts.endpoints.probeEnded(ended, nowNanos, sink);
        parts.dispatcher.markAllServicesChanged();
    }

    private void drain(EndpointDrainRequested drain, long nowNanos, ActionSink sink) {
        parts.endpoints.setDrained(drain.endpoint(), drain.out(), nowNanos, sink);
        parts.dispatcher.markAllServicesChanged();
        parts.peers.reportNow(nowNanos, parts.reportSource, sink);
    }
}
