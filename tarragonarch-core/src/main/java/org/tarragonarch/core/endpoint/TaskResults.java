package org.tarragonarch.core.endpoint;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/** Releases the slots of ended tasks and updates the health of their endpoints. */
final class TaskResults {
    private final EndpointPools pools;
    private final EndpointProbes probes;
    private final FailureScorer scorer = new FailureScorer();

    TaskResults(EndpointPools pools, EndpointProbes probes) {
        this.pools = pools;
        this.probes = probes;
    }

    /** Releases the slot and updates the health of the endpoint from the result of the task. */
    void taskEnded(
            EndpointRecord endpoint,
            TaskEnded ended,
            ServiceName service,
            KindName kind,
            long nowNanos,
            ActionSink sink) {
        endpoint.slots().taskEnded();
        pools.recordResult(service, endpoint, ended.result(), nowNanos);
        if (ended.endpointLeaving() || ended.result() == SendResult.REFUSED_DRAINING) {
            probes.markLeaving(endpoint, "its own answer", nowNanos, sink);
        }
        if (ended.result().endpointAnswered()) {
            pools.reachability(endpoint).recordAnswer();
        }
        switch (ended.result()) {
            case SUCCEEDED -> recordRun(endpoint, service, kind, false, nowNanos, sink);
            case TASK_FAILED, LOST -> recordRun(endpoint, service, kind, true, nowNanos, sink);
            case REFUSED_BUSY -> recordBusyRefusal(endpoint, nowNanos);
            case CONNECT_FAILED -> probes.markUnreachable(endpoint, nowNanos, sink);
            case REFUSED_DRAINING -> {}
            default -> throw new AssertionError(ended.result());
        }
    }

    /** Releases the slot without counting the result of the task. */
    void stoppedTaskEnded(EndpointRecord endpoint, TaskEnded ended, long nowNanos, ActionSink sink) {
        endpoint.slots().taskEnded();
        if (ended.endpointLeaving()) {
            probes.markLeaving(endpoint, "its own answer", nowNanos, sink);
        }
    }

    private void recordRun(
            EndpointRecord endpoint,
            ServiceName service,
            KindName kind,
            boolean failed,
            long nowNanos,
            ActionSink sink) {
        endpoint.slots().slotVacated();
        scorer.add(endpoint, service, kind, failed);
        if (!failed && endpoint.recordSuccess(nowNanos)) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_READMITTED, endpoint.id(), endpoint.reason(), sink);
        }
        boolean elsewhere = !pools.isInOwnDomain(endpoint);
        boolean mayQuarantine = endpoint.countsAsQuarantined() || pools.canQuarantine(endpoint);
        if (failed && endpoint.shouldQuarantine(elsewhere) && mayQuarantine) {
            endpoint.quarantine(elsewhere, nowNanos, "fails what others do not fail");
            EndpointNotes.emit(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), endpoint.reason(), sink);
            probes.scheduleProbe(endpoint, endpoint.quarantinedUntilNanos());
        }
    }

    private void recordBusyRefusal(EndpointRecord endpoint, long nowNanos) {
        endpoint.recordBusyRefusal(nowNanos);
        probes.scheduleWake(endpoint, endpoint.nextDecayNanos());
    }
}
