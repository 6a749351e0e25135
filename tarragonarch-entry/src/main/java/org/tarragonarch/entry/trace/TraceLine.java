package org.tarragonarch.entry.trace;

import org.tarragonarch.core.event.Event;

/**
 * One event of a trace.
 *
 * @param nanos the time that the core was given with it
 * @param event the event
 */
public record TraceLine(long nanos, Event event) {}
