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
 * Groups the claims of many submissions into batches and writes one batch at a time.
 *
 * <p>The platform's table service accepts several hundred writes per second from all nodes together. Each node spaces
 * its writes by the number of nodes, so that all nodes together stay within {@link #MAX_WRITES_PER_SECOND}.
 *
 * <p>Not thread-safe.
 */
final class ClaimBatcher {
    /** The maximum rate of claim writes of all nodes together. */
    static final int MAX_WRITES_PER_SECOND = 200;
    /** The maximum batch size; a larger batch would delay every claim in it. */
    static final int MAX_BATCH = 500;
    /** How long to wait before repeating a read that received no reply. */
    private static final long READ_RETRY_NANOS = 200_000_000L;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Set<Claim> waiting = new LinkedHashSet<>();
    private List<Claim> inFlight = ImmutableList.of();
    private boolean readingBack;
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

    /** Removes a claim that is no longer needed; returns false if its write has already started. */
    boolean withdraw(Claim claim) {
        return waiting.remove(claim);
    }

    /** Returns whether a write received no reply and reading it back has not succeeded yet. */
    boolean isStoreUnavailable() {
        return readingBack && !inFlight.isEmpty();
    }

    /** Starts the next write or repeats a read, if due. */
    void timePassed(long nowNanos, ActionSink sink) {
        if (nowNanos >= nextReadNanos) {
            nextReadNanos = Long.MAX_VALUE;
            sink.emit(new ReadClaims(batch, ImmutableList.copyOf(inFlight)));
        }
        if (!inFlight.isEmpty() || waiting.isEmpty() || nowNanos < nextWriteNanos) {
            return;
        }
        List<Claim> claims = new ArrayList<>();
        Iterator<Claim> iterator = waiting.iterator();
        while (claims.size() < MAX_BATCH && iterator.hasNext()) {
            claims.add(iterator.next());
            iterator.remove();
        }
        inFlight = claims;
        readingBack = false;
        batch++;
        nextWriteNanos = nowNanos + writers * (SECOND_NANOS / MAX_WRITES_PER_SECOND);
        sink.emit(new WriteClaims(batch, ImmutableList.copyOf(claims)));
    }

    /** Completes the batch in flight and returns its claims; returns empty if the number is of another batch. */
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
     * Records that a write or read received no reply.
     *
     * <p>If the write may have taken effect, the rows are read back. The write is never repeated, since a second write
     * could find the first one and mistake it for a claim of another node.
     *
     * @return the claims that were certainly not written
     */
    ImmutableList<Claim> recordNoReply(long uncertainBatch, boolean mayHaveApplied, long nowNanos, ActionSink sink) {
        if (uncertainBatch != batch || inFlight.isEmpty()) {
            return ImmutableList.of();
        }
        if (!mayHaveApplied && !readingBack) {
            return settle(uncertainBatch).orElseThrow();
        }
        long wait = readingBack ? READ_RETRY_NANOS : 0;
        readingBack = true;
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
