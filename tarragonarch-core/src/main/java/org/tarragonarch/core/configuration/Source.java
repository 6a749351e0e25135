package org.tarragonarch.core.configuration;

import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.NodeId;

/** A source of configurations, the object store or a peer, with the time from which it may be used again. */
final class Source {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(250);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(4);

    private final Optional<NodeId> peer;
    private Duration backoff = INITIAL_BACKOFF;
    private long usableFromNanos = Long.MIN_VALUE;

    private Source(Optional<NodeId> peer) {
        this.peer = peer;
    }

    static Source store() {
        return new Source(Optional.empty());
    }

    static Source peer(NodeId peer) {
        return new Source(Optional.of(peer));
    }

    /** Returns the peer; empty for the object store. */
    Optional<NodeId> peer() {
        return peer;
    }

    boolean isUsable(long nowNanos) {
        return nowNanos >= usableFromNanos;
    }

    long usableFromNanos() {
        return usableFromNanos;
    }

    void recordFailure(long nowNanos) {
        usableFromNanos = nowNanos + backoff.toNanos();
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }

    void recordSuccess() {
        backoff = INITIAL_BACKOFF;
        usableFromNanos = Long.MIN_VALUE;
    }
}
