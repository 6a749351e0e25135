package org.tarragonarch.core.action;

/**
 * Hand in a {@code TimePassed} no later than this; a later {@code WakeAt} replaces it.
 *
 * @param nanos the time, on the clock by which events are handed in, in nanoseconds
 */
public record WakeAt(long nanos) implements Action {}
