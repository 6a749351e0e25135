package org.tarragonarch.standin.scenario;

import java.util.function.Consumer;

/**
 * Something that happens.
 *
 * @param nanos when, from the start of the scenario
 * @param effect what
 */
public record Step(long nanos, Consumer<ScenarioRun> effect) {}
