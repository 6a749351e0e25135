package org.tarragonarch.standin.explore;

/** A promise was broken; the message says which, by what and when. */
public final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Violation(String promise, String what, long nowNanos) {
        super(promise + ": " + what + " at " + nowNanos / 1_000 + " us");
    }
}
