package org.tarragonarch.core.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The answered entries in the order in which they are forgotten, bounded in time and number. */
final class KeptAnswers {
    private final long keptNanos;
    private final int most;
    private final Deque<Kept> kept = new ArrayDeque<>();

    KeptAnswers(long keptNanos, int most) {
        this.keptNanos = keptNanos;
        this.most = most;
    }

    void add(KeyEntry entry, long nowNanos) {
        kept.add(new Kept(entry, nowNanos + keptNanos));
    }

    /** Takes out one entry whose time is over, or the oldest if there are too many. */
    Optional<KeyEntry> pollExpired(long nowNanos) {
        if (kept.isEmpty() || (kept.size() <= most && kept.peek().untilNanos() > nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(kept.remove().entry());
    }

    long nextWakeNanos() {
        return kept.isEmpty() ? Long.MAX_VALUE : kept.peek().untilNanos();
    }

    private record Kept(KeyEntry entry, long untilNanos) {}
}
