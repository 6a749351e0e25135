package org.tarragonarch.standin.scenario;

/**
 * The start of a task; in a trace, the sending of a task.
 *
 * @param task the task
 * @param endpoint the endpoint's name
 * @param nanos when, in nanoseconds since the start of the scenario or trace
 */
public record ObservedStart(String task, String endpoint, long nanos) {}
