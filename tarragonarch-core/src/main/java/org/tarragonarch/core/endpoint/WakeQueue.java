package org.tarragonarch.core.endpoint;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Scheduled checks of endpoints, ordered by time. A check that is no longer needed when due has no effect. */
final class WakeQueue {
    private final PriorityQueue<Wake> wakes =
            new PriorityQueue<>(Comparator.comparingLong(Wake::nanos).thenComparingLong(Wake::sequence));
    private long sequence;

    void add(long nanos, EndpointRecord endpoint) {
        if (nanos != EndpointRecord.NEVER) {
            wakes.add(new Wake(nanos, sequence++, endpoint));
        }
    }

    /** Returns the time of the next check; {@code Long.MAX_VALUE} if there is none. */
    long nextWakeNanos() {
        Wake next = wakes.peek();
        return next == null ? Long.MAX_VALUE : next.nanos;
    }

    /** Removes and returns an endpoint whose check is due, if there is one. */
    Optional<EndpointRecord> pollDue(long nowNanos) {
        return nextWakeNanos() <= nowNanos ? Optional.of(wakes.poll().endpoint) : Optional.empty();
    }

    private record Wake(long nanos, long sequence, EndpointRecord endpoint) {}
}
