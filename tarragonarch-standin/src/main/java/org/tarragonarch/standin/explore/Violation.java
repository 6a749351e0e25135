package org.tarragonarch.standin.explore;

/** Thrown when a promise is broken; the message names the promise, what broke it, and the virtual time. */
public final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Violation(String promise, String what, long nowNanos) {
        super(promise + ": " + what + " at " + nowNanos / 1_000 + " us");
    }
}
