package org.tarragonarch.core.configuration;

import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.platform.ConfigurationRow;

/** Tracks the reads of the configuration row: when the next one is due, and the highest row read so far. */
final class RowTracker {
    /** How long to wait for a read before a peer is asked instead. */
    private static final long READ_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    private final long intervalNanos;
    private Optional<ConfigurationRow> highest = Optional.empty();
    private long nextReadNanos;
    private long readStartedNanos = Long.MIN_VALUE;
    private boolean pending;
    private boolean failing;

    RowTracker(Duration interval) {
        this.intervalNanos = interval.toNanos();
    }

    /** Returns the row with the highest version read so far; a lower one read later is stale. */
    Optional<ConfigurationRow> highest() {
        return highest;
    }

    ConfigurationVersion highestVersion() {
        return highest.map(ConfigurationRow::version).orElse(ConfigurationVersion.NONE);
    }

    long nextReadNanos() {
        return nextReadNanos;
    }

    void readStarted(long nowNanos) {
        readStartedNanos = nowNanos;
        pending = true;
        nextReadNanos = nowNanos + intervalNanos;
    }

    void readSucceeded(Optional<ConfigurationRow> row) {
        pending = false;
        failing = false;
        if (row.isPresent() && row.get().version().isNewerThan(highestVersion())) {
            highest = row;
        }
    }

    void readFailed() {
        pending = false;
        failing = true;
    }

    /** Returns whether a read was started at or after the given time, whether or not it has ended. */
    boolean readStartedSince(long nanos) {
        return readStartedNanos >= nanos;
    }

    /** Returns whether the last completed read succeeded; true if there was none. */
    boolean isStoreResponding() {
        return !failing;
    }

    /** Returns whether a read is in progress that has not timed out and the last one did not fail. */
    boolean shouldAwaitRead(long nowNanos) {
        return pending && !failing && nowNanos < readTimeoutNanos();
    }

    long readTimeoutNanos() {
        return readStartedNanos + READ_TIMEOUT_NANOS;
    }
}
