package org.tarragonarch.standin.scenario;

/**
 * A task that started; in a trace, one that was sent.
 *
 * @param task the task
 * @param endpoint where
 * @param nanos when, from the start of the scenario or trace
 */
public record ObservedStart(String task, String endpoint, long nanos) {}
