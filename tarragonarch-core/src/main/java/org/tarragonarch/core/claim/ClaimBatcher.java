package org.tarragonarch.core.claim;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ReadClaims;
import org.tarragonarch.core.action.WriteClaims;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.Claim;

/**
 * Writes the claims of many submissions in one write, one write at a time.
 *
 * <p>The platform's table service takes several hundred writes a second from all nodes together. A node that is alone
 * writes at once; with more nodes the writes of each are spaced so that the sum stays within {@link #MAX_WRITES_PER_SECOND}.
 * Not safe for use by several threads.
 */
final class ClaimBatcher {
    /** The part of the table service's writes that all nodes together spend on claims. */
    static final int MAX_WRITES_PER_SECOND = 200;
    /** A larger batch would make one write slow for all in it. */
    static final int MAX_BATCH = 500;
    /** How long to wait before a read whose reply was lost is tried again. */
    private static final long READ_RETRY_NANOS = 200_000_000L;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Set<Claim> waiting = new LinkedHashSet<>();
    private List<Claim> inFlight = ImmutableList.of();
    private boolean readBack;
    private long batch;
    private long nextWriteNanos = Long.MIN_VALUE;
    private long nextReadNanos = Long.MAX_VALUE;
    private int writers = 1;

    /** Sets how many nodes write claims to the same table service. */
    void setWriters(int count) {
        writers = Math.max(1, count);
    }

    void add(Claim claim) {
        waiting.add(claim);
    }

    /** Takes back a claim that is not wanted any more; returns false if its write was started. */
    boolean withdraw(Claim claim) {
        return waiting.remove(claim);
    }

    /** Returns whether a write had no reply and the reads that should settle it have none either. */
    boolean isStoreUnavailable() {
        return readBack && !inFlight.isEmpty();
    }

    /** Starts the next write, or reads again, when that is due. */
    void timePassed(long nowNanos, ActionSink sink) {
        if (nowNanos >= nextReadNanos) {
            nextReadNanos = Long.MAX_VALUE;
            sink.emit(new ReadClaims(batch, ImmutableList.copyOf(inFlight)));
        }
        if (!inFlight.isEmpty() || waiting.isEmpty() || nowNanos < nextWriteNanos) {
            return;
        }
        List<Claim> claims = new ArrayList<>();
        Iterator<Claim> oldest = waiting.iterator();
        while (claims.size() < MAX_BATCH && oldest.hasNext()) {
            claims.add(oldest.next());
            oldest.remove();
        }
        inFlight = claims;
        readBack = false;
        batch++;
        nextWriteNanos = nowNanos + writers * (SECOND_NANOS / MAX_WRITES_PER_SECOND);
        sink.emit(new WriteClaims(batch, ImmutableList.copyOf(claims)));
    }

    /** Returns the claims of the batch in flight if this is its number, and takes the batch as done. */
    Optional<ImmutableList<Claim>> settle(long settledBatch) {
        if (settledBatch != batch || inFlight.isEmpty()) {
            return Optional.empty();
        }
        ImmutableList<Claim> claims = ImmutableList.copyOf(inFlight);
        inFlight = ImmutableList.of();
        nextReadNanos = Long.MAX_VALUE;
        return Optional.of(claims);
    }

    /**
     * Records that no reply came.
     *
     * <p>A write that may have taken effect is settled by reading the rows back, never by writing again: a second
     * write could find its own first one and take it for another node's. Returns the claims that certainly were not
     * written.
     */
    ImmutableList<Claim> recordNoReply(long uncertainBatch, boolean mayHaveApplied, long nowNanos, ActionSink sink) {
        if (uncertainBatch != batch || inFlight.isEmpty()) {
            return ImmutableList.of();
        }
        if (!mayHaveApplied && !readBack) {
            return settle(uncertainBatch).orElseThrow();
        }
        long wait = readBack ? READ_RETRY_NANOS : 0;
        readBack = true;
        nextReadNanos = nowNanos + wait;
        sink.emit(Note.of(NoteEvent.CLAIM_REPLY_LOST, Step.CLAIM, "table service", "claims", inFlight.size()));
        timePassed(nowNanos, sink);
        return ImmutableList.of();
    }

    long nextWakeNanos() {
        if (!inFlight.isEmpty()) {
            return nextReadNanos;
        }
        return waiting.isEmpty() ? Long.MAX_VALUE : nextWriteNanos;
    }
}
