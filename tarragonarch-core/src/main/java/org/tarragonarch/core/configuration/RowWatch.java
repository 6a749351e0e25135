package org.tarragonarch.core.configuration;

import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.platform.ConfigurationRow;

/** The reads of the configuration row: when the next is due, and the highest row ever seen. */
final class RowWatch {
    /** How long a read may take before the node stops waiting for it and asks a peer. */
    private static final long PATIENCE_NANOS = Duration.ofMillis(500).toNanos();

    private final long intervalNanos;
    private Optional<ConfigurationRow> highest = Optional.empty();
    private long nextReadNanos;
    private long askedNanos = Long.MIN_VALUE;
    private boolean pending;
    private boolean failing;

    RowWatch(Duration interval) {
        this.intervalNanos = interval.toNanos();
    }

    /** Returns the highest row seen; a lower one that is read later is stale. */
    Optional<ConfigurationRow> highest() {
        return highest;
    }

    ConfigurationVersion highestVersion() {
        return highest.map(ConfigurationRow::version).orElse(ConfigurationVersion.NONE);
    }

    long nextReadNanos() {
        return nextReadNanos;
    }

    void asked(long nowNanos) {
        askedNanos = nowNanos;
        pending = true;
        nextReadNanos = nowNanos + intervalNanos;
    }

    void read(Optional<ConfigurationRow> row) {
        pending = false;
        failing = false;
        if (row.isPresent() && row.get().version().isNewerThan(highestVersion())) {
            highest = row;
        }
    }

    void failed() {
        pending = false;
        failing = true;
    }

    /** Returns whether a read was asked for since then, answered or not. */
    boolean askedSince(long nanos) {
        return askedNanos >= nanos;
    }

    /** Returns whether the store answered last time it was asked. */
    boolean answers() {
        return !failing;
    }

    /** Returns whether a read is under way that is worth waiting for. */
    boolean worthWaiting(long nowNanos) {
        return pending && !failing && nowNanos < patienceEndsNanos();
    }

    long patienceEndsNanos() {
        return askedNanos + PATIENCE_NANOS;
    }
}
