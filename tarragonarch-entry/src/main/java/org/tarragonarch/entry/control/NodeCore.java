package org.tarragonarch.entry.control;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.node.EntryNode;
import org.tarragonarch.core.status.NodeStatus;

/** The core as the control thread sees it; tests replace it by a fake. Used by one thread only. */
public interface NodeCore {
    /**
     * Handles one event.
     *
     * @param nowNanos the current time of a monotonic clock
     * @param event the event
     * @param sink receives the resulting actions, in order
     */
    void handle(long nowNanos, Event event, ActionSink sink);

    /** Returns a snapshot of the state, for the administration API and the metrics. */
    NodeStatus status();

    /** Returns a core that delegates to {@code node}. */
    static NodeCore of(EntryNode node) {
        return new NodeCore() {
            @Override
            public void handle(long nowNanos, Event event, ActionSink sink) {
                node.handle(nowNanos, event, sink);
            }

            @Override
            public NodeStatus status() {
                return node.status();
            }
        };
    }
}
