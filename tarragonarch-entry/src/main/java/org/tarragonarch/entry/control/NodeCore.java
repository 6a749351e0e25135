package org.tarragonarch.entry.control;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.node.EntryNode;
import org.tarragonarch.core.status.NodeStatus;

/** What the control thread runs: the decisions of a node, or a fake of them in tests. Used by one thread only. */
public interface NodeCore {
    /**
     * Decides upon one event.
     *
     * @param nowNanos the time, on a clock that never runs backwards
     * @param event what happened
     * @param sink takes the actions, in order
     */
    void handle(long nowNanos, Event event, ActionSink sink);

    /** Returns a snapshot for the administration API. */
    NodeStatus status();

    /** Returns the core that a real node runs. */
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
