package org.tarragonarch.core.node;

import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** Decides when the node starts to serve, and ends its open submissions when it leaves. */
final class LifecycleHandler {
    private final NodeParts parts;
    private boolean vmListKnown;

    LifecycleHandler(NodeParts parts) {
        this.parts = parts;
    }

    void register(EventHandlers handlers) {
        handlers.register(DrainRequested.class, this::drain);
    }

    /** Records that the list of VMs was read from the platform. */
    void vmListRead(ActionSink sink) {
        vmListKnown = true;
        serveIfReady(sink);
    }

    /** Handles a configuration that came into force. */
    void configurationLoaded(ActionSink sink) {
        serveIfReady(sink);
    }

    /** Ends the open submissions once the drain deadline has passed, and leaves when none is open. */
    void leaveIfDone(long nowNanos, ActionSink sink) {
        if (parts.lifecycle.isDrainDeadlinePassed(nowNanos) && parts.submissions.size() > 0) {
            sink.emit(Note.of(
                    NoteEvent.DRAIN_CUT_SHORT, Step.LIFECYCLE, "caller", "submissions", parts.submissions.size()));
            for (Submission submission : parts.submissions.openSubmissions()) {
                ProblemCode code = submission.mayHaveRun() ? ProblemCode.SHUT_DOWN : ProblemCode.DRAINING;
                Problem problem = parts.dispatcher.problemFor(submission, code, "the node stopped");
                parts.dispatcher.end(submission, Optional.of(problem), nowNanos, sink);
            }
        }
        parts.lifecycle.timePassed(parts.submissions.size() == 0, nowNanos, sink);
    }

    private void drain(DrainRequested drain, long nowNanos, ActionSink sink) {
        parts.lifecycle.drain(drain.reason(), nowNanos, sink);
        parts.peers.reportNow(nowNanos, parts.reportSource, sink);
    }

    private void serveIfReady(ActionSink sink) {
        if (vmListKnown && parts.configuration.inForce().isPresent()) {
            parts.lifecycle.startServing(sink);
        }
    }
}
