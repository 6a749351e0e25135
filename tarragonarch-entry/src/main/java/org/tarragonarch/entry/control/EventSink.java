package org.tarragonarch.entry.control;

import org.tarragonarch.core.event.Event;

/** Takes events from any thread and never blocks. */
@FunctionalInterface
public interface EventSink {
    /** Takes one event; events of one thread are decided upon in the order in which it hands them in. */
    void post(Event event);
}
