package org.tarragonarch.entry.control;

import org.tarragonarch.core.event.Event;

/** Accepts events from any thread without blocking. */
@FunctionalInterface
public interface EventSink {
    /** Queues an event for the core; events posted by one thread are handled in the order of their posting. */
    void post(Event event);
}
