package org.tarragonarch.core.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The answered entries, oldest first, limited in age and number. */
final class KeptAnswers {
    private final long keptNanos;
    private final int maxKept;
    private final Deque<Kept> kept = new ArrayDeque<>();

    KeptAnswers(long keptNanos, int maxKept) {
        this.keptNanos = keptNanos;
        this.maxKept = maxKept;
    }

    void add(KeyEntry entry, long nowNanos) {
        kept.add(new Kept(entry, nowNanos + keptNanos));
    }

    /** Removes and returns the oldest entry if it has expired or there are too many entries. */
    Optional<KeyEntry> pollExpired(long nowNanos) {
        if (kept.isEmpty() || (kept.size() <= maxKept && kept.peek().untilNanos() > nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(kept.remove().entry());
    }

    long nextWakeNanos() {
        return kept.isEmpty() ? Long.MAX_VALUE : kept.peek().untilNanos();
    }

    private record Kept(KeyEntry entry, long untilNanos) {}
}
