package org.tarragonarch.standin.scenario;

import java.util.function.Consumer;

/**
 * One step of a scenario.
 *
 * @param nanos when, in nanoseconds since the start of the scenario
 * @param effect the effect on the run
 */
public record Step(long nanos, Consumer<ScenarioRun> effect) {}
