package org.tarragonarch.entry.control;

import org.tarragonarch.core.event.Event;

/** Sees every event before the core decides upon it; called on the control thread, so it must not block. */
@FunctionalInterface
public interface EventRecorder {
    /** Keeps nothing. */
    EventRecorder NONE = (nowNanos, event) -> {};

    /**
     * Takes one event.
     *
     * @param nowNanos the time that the core is given with it
     * @param event the event
     */
    void record(long nowNanos, Event event);
}
