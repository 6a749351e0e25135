package org.tarragonarch.core.action;

/**
 * Hand the core a {@code TimePassed} no later than the given time; replaces an earlier {@code WakeAt}.
 *
 * @param nanos the time in nanoseconds, on the clock used for events
 */
public record WakeAt(long nanos) implements Action {}
