package org.tarragonarch.standin.scenario;

import java.util.Optional;

/**
 * Something that must hold.
 *
 * @param text the line that says so
 * @param atNanos when it must hold; at the end if there is no time
 * @param check the check
 */
public record Expectation(String text, Optional<Long> atNanos, Check check) {
    /** Checks one thing. */
    @FunctionalInterface
    public interface Check {
        /** Returns what is wrong, if something is. */
        Optional<String> failure(ObservedRun observed);
    }
}
