package org.tarragonarch.entry.trace;

import org.tarragonarch.core.event.Event;

/**
 * One event of a trace.
 *
 * @param nanos the time passed to the core with the event
 * @param event the event
 */
public record TraceLine(long nanos, Event event) {}
