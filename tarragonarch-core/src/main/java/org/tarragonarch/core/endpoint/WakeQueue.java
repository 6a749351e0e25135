package org.tarragonarch.core.endpoint;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Which endpoint is to be looked at when; one that needs no more looking at by then costs nothing but the look. */
final class WakeQueue {
    private final PriorityQueue<Wake> wakes =
            new PriorityQueue<>(Comparator.comparingLong(Wake::nanos).thenComparingLong(Wake::sequence));
    private long sequence;

    void add(long nanos, EndpointRecord endpoint) {
        if (nanos != EndpointRecord.NEVER) {
            wakes.add(new Wake(nanos, sequence++, endpoint));
        }
    }

    /** Returns when the next falls due; {@code Long.MAX_VALUE} for never. */
    long nextWakeNanos() {
        Wake next = wakes.peek();
        return next == null ? Long.MAX_VALUE : next.nanos;
    }

    /** Takes one out that is due, if any is. */
    Optional<EndpointRecord> pollDue(long nowNanos) {
        return nextWakeNanos() <= nowNanos ? Optional.of(wakes.poll().endpoint) : Optional.empty();
    }

    private record Wake(long nanos, long sequence, EndpointRecord endpoint) {}
}
