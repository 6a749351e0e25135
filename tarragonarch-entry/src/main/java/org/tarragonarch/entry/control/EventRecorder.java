package org.tarragonarch.entry.control;

import org.tarragonarch.core.event.Event;

/** Receives every event before the core does; called on the control thread, so it must not block. */
@FunctionalInterface
public interface EventRecorder {
    /** Discards every event. */
    EventRecorder NONE = (nowNanos, event) -> {};

    /**
     * Records one event.
     *
     * @param nowNanos the time passed to the core with the event
     */
    void record(long nowNanos, Event event);
}
