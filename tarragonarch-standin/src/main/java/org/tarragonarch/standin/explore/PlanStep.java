package org.tarragonarch.standin.explore;

import java.util.function.Consumer;

/**
 * One thing that a random plan does to a world.
 *
 * @param nanos when
 * @param text what, for a person
 * @param effect what, for the world
 */
record PlanStep(long nanos, String text, Consumer<World> effect) {
    @Override
    public String toString() {
        return "at " + nanos / 1_000_000 + "ms " + text;
    }
}
