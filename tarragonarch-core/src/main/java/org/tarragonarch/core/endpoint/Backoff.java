package org.tarragonarch.core.endpoint;

/** An exponential backoff with an upper limit. */
final class Backoff {
    private final long initial;
    private final long growth;
    private final long max;
    private long next;

    Backoff(long initial, long growth, long max) {
        this.initial = initial;
        this.growth = growth;
        this.max = max;
        this.next = initial;
    }

    /** Returns the current wait and increases the next one. */
    long next() {
        long wait = next;
        next = Math.min(max, next * growth);
        return wait;
    }

    void reset() {
        next = initial;
    }
}
