package org.tarragonarch.core.endpoint;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/** Gives back the slots of ended tasks, and judges each endpoint by how its tasks ended. */
final class TaskResults {
    private final EndpointPools pools;
    private final EndpointProbes probes;
    private final FailureScorer judge = new FailureScorer();

    TaskResults(EndpointPools pools, EndpointProbes probes) {
        this.pools = pools;
        this.probes = probes;
    }

    /** Gives the slot back and judges the endpoint by how the task ended. */
    void taskEnded(
            EndpointRecord endpoint,
            TaskEnded ended,
            ServiceName service,
            KindName kind,
            long nowNanos,
            ActionSink sink) {
        endpoint.slots().givenBack();
        pools.recordResult(service, endpoint, ended.result(), nowNanos);
        if (ended.endpointLeaving() || ended.result() == SendResult.REFUSED_DRAINING) {
            probes.markLeaving(endpoint, "its own answer", nowNanos, sink);
        }
        if (ended.result().endpointAnswered()) {
            pools.reachability(endpoint).recordAnswer();
        }
        switch (ended.result()) {
            case SUCCEEDED -> ran(endpoint, service, kind, false, nowNanos, sink);
            case TASK_FAILED, LOST -> ran(endpoint, service, kind, true, nowNanos, sink);
            case REFUSED_BUSY -> refusedBusy(endpoint, nowNanos);
            case CONNECT_FAILED -> probes.markUnreachable(endpoint, nowNanos, sink);
            case REFUSED_DRAINING -> {}
            default -> throw new AssertionError(ended.result());
        }
    }

    /** Gives the slot back without judging the endpoint. */
    void stoppedTaskEnded(EndpointRecord endpoint, TaskEnded ended, long nowNanos, ActionSink sink) {
        endpoint.slots().givenBack();
        if (ended.endpointLeaving()) {
            probes.markLeaving(endpoint, "its own answer", nowNanos, sink);
        }
    }

    private void ran(
            EndpointRecord endpoint,
            ServiceName service,
            KindName kind,
            boolean failed,
            long nowNanos,
            ActionSink sink) {
        endpoint.slots().vacated();
        judge.add(endpoint, service, kind, failed);
        if (!failed && endpoint.recordSuccess(nowNanos)) {
            EndpointNotes.emit(NoteEvent.ENDPOINT_READMITTED, endpoint.id(), endpoint.reason(), sink);
        }
        boolean elsewhere = !pools.isInOwnDomain(endpoint);
        boolean mayBeOut = endpoint.countsAsQuarantined() || pools.canQuarantine(endpoint);
        if (failed && endpoint.shouldQuarantine(elsewhere) && mayBeOut) {
            endpoint.quarantine(elsewhere, nowNanos, "fails what others do not fail");
            EndpointNotes.emit(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), endpoint.reason(), sink);
            probes.scheduleProbe(endpoint, endpoint.quarantinedUntilNanos());
        }
    }

    private void refusedBusy(EndpointRecord endpoint, long nowNanos) {
        endpoint.recordBusyRefusal(nowNanos);
        probes.scheduleWake(endpoint, endpoint.nextDecayNanos());
    }
}
