package org.tarragonarch.standin.explore;

import java.util.function.Consumer;

/**
 * One step of a random plan.
 *
 * @param nanos the virtual time of the step
 * @param text a description of the step
 * @param effect the effect on the world
 */
record PlanStep(long nanos, String text, Consumer<World> effect) {
    @Override
    public String toString() {
        return "at " + nanos / 1_000_000 + "ms " + text;
    }
}
