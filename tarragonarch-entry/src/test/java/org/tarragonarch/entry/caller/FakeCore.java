package org.tarragonarch.entry.caller;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.entry.control.NodeCore;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodePhase;

/** A core that records events and handles submissions as a test specifies. */
public final class FakeCore implements NodeCore {
    private final List<Event> events = new CopyOnWriteArrayList<>();
    private final OnArrival onArrival;

    public FakeCore(OnArrival onArrival) {
        this.onArrival = onArrival;
    }

    /** Returns all events so far, in order of arrival. */
    public List<Event> events() {
        return events;
    }

    /** Returns the events of one type so far, in order of arrival. */
    public <T extends Event> List<T> events(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public void handle(long nowNanos, Event event, ActionSink sink) {
        events.add(event);
        if (event instanceof SubmissionArrived arrived) {
            onArrival.arrived(arrived, sink);
        }
    }

    @Override
    public NodeStatus status() {
        return new NodeStatus(
                NodeId.of("hobart-1"),
                Incarnation.of(7),
                FailureDomain.of("hobart"),
                NodePhase.SERVING,
                ConfigurationVersion.of(1),
                0,
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of());
    }

    /** Handles a submission. */
    public interface OnArrival {
        void arrived(SubmissionArrived arrived, ActionSink sink);
    }
}
