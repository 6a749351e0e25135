package org.tarragonarch.core.endpoint;

/** A wait that grows by a factor each time, up to a longest one. */
final class Backoff {
    private final long first;
    private final long growth;
    private final long longest;
    private long next;

    Backoff(long first, long growth, long longest) {
        this.first = first;
        this.growth = growth;
        this.longest = longest;
        this.next = first;
    }

    /** Returns the wait, and makes the next one longer. */
    long next() {
        long wait = next;
        next = Math.min(longest, next * growth);
        return wait;
    }

    void reset() {
        next = first;
    }
}
