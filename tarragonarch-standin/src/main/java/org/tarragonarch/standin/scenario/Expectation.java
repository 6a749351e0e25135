package org.tarragonarch.standin.scenario;

import java.util.Optional;

/**
 * A condition that a run must meet.
 *
 * @param text the line of the scenario, shown when the condition fails
 * @param atNanos when the condition is checked, in nanoseconds since the start of the run; at the end if empty
 * @param check the check of the condition
 */
public record Expectation(String text, Optional<Long> atNanos, Check check) {
    /** A check of one condition. */
    @FunctionalInterface
    public interface Check {
        /** Returns a description of the failure, or an empty value if the condition holds. */
        Optional<String> failure(ObservedRun observed);
    }
}
