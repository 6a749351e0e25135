package org.tarragonarch.entry.cluster;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/**
 * The cancellations of this node's clients in the store, one row for each node, from which a node that starts learns of
 * those that no running node may know.
 *
 * <p>Guards against a cancelled job that runs after all nodes have lost their memory at once. The store is not in the
 * way of a cancellation: while it is away, nobody waits for it, and the row is written when it is back.
 *
 * <p>A row holds the latest jobs, a line for each: when it was cancelled, in milliseconds since 1970, and its id.
 */
final class CancellationRows {
    /** The maximum number of jobs in a row, which is a quarter of the size that the store allows. */
    static final int MAX_JOBS = 512;

    /** The least time between two writes, which bounds the load on the store while clients cancel many jobs. */
    static final long MIN_INTERVAL_MILLIS = 200;

    private static final long RETRY_MILLIS = 250;
    private static final char LINE_END = '\n';
    private static final char SEPARATOR = ' ';

    private final RowStore store;
    private final NodeId own;
    private final Timers timers;
    private final LongSupplier wallMillis;
    private final long retentionMillis;
    private final DecisionLog log;

    /** The jobs in this node's row, with the time of day of their cancellation. */
    private final Map<JobId, Long> jobs = BoundedMaps.evictingEldest(MAX_JOBS);

    private List<Runnable> waiting = new ArrayList<>();
    private boolean isRead;
    private boolean isAway;
    private boolean isWriting;
    private boolean isChanged;

    /**
     * Creates the rows; nothing is read or written before {@link #start}.
     *
     * @param wallMillis the time of day, in milliseconds since 1970
     * @param retentionMillis how long a cancellation is kept, in milliseconds
     */
    CancellationRows(
            RowStore store, NodeId own, Timers timers, LongSupplier wallMillis, long retentionMillis, DecisionLog log) {
        this.store = store;
        this.own = own;
        this.timers = timers;
        this.wallMillis = wallMillis;
        this.retentionMillis = retentionMillis;
        this.log = log;
    }

    /**
     * Reads all rows, until this succeeds.
     *
     * @param recovered receives the jobs that have not expired; those of this node's own row as those of its clients
     */
    void start(BiConsumer<JobId, CancelSource> recovered) {
        store.read(StoreTable.CANCELLATIONS, reply -> {
            if (reply.result() != StoreResult.DONE) {
                timers.schedule(RETRY_MILLIS, () -> start(recovered));
                return;
            }
            reply.page().orElseThrow().rows().forEach(row -> recover(row, recovered));
            isRead = true;
            write();
        });
    }

    private void recover(StoreRow row, BiConsumer<JobId, CancelSource> recovered) {
        boolean isOwn = row.key().equals(own.value());
        String text = new String(row.value(), StandardCharsets.UTF_8);
        try {
            for (String line : Splitter.on(LINE_END).omitEmptyStrings().split(text)) {
                int separator = line.indexOf(SEPARATOR);
                long cancelledAtMillis = Long.parseLong(line.substring(0, Math.max(0, separator)));
                JobId job = new JobId(line.substring(separator + 1));
                if (cancelledAtMillis > wallMillis.getAsLong() - retentionMillis) {
                    if (isOwn) {
                        jobs.putIfAbsent(job, cancelledAtMillis);
                    }
                    recovered.accept(job, isOwn ? CancelSource.CLIENT : CancelSource.REPETITION);
                }
            }
        } catch (IllegalArgumentException e) {
            log.write(NodeEvent.NODE_ROW_UNREADABLE, "key", row.key(), "reason", e.getMessage());
        }
    }

    /**
     * Adds a job that a client of this node has cancelled.
     *
     * @param stored callback run once the job is stored; at once while the store is away
     */
    void add(JobId job, Runnable stored) {
        jobs.remove(job);
        jobs.put(job, wallMillis.getAsLong());
        isChanged = true;
        if (isRead && !isAway) {
            waiting.add(stored);
        } else {
            stored.run();
        }
        write();
    }

    /**
     * Writes the row if it has changed, unless a write is under way or was answered a short time ago. One write at a
     * time keeps an earlier row from replacing a later one.
     */
    private void write() {
        if (!isRead || !isChanged || isWriting) {
            return;
        }
        isWriting = true;
        isChanged = false;
        ImmutableList<Runnable> covered = ImmutableList.copyOf(waiting);
        waiting = new ArrayList<>();
        store.put(StoreTable.CANCELLATIONS, own.value(), row(), reply -> {
            isAway = reply.result() != StoreResult.DONE;
            isChanged |= isAway;
            covered.forEach(Runnable::run);
            if (isAway) {
                waiting.forEach(Runnable::run);
                waiting = new ArrayList<>();
            }
            timers.schedule(isAway ? RETRY_MILLIS : MIN_INTERVAL_MILLIS, this::writeAgain);
        });
    }

    private void writeAgain() {
        isWriting = false;
        write();
    }

    private byte[] row() {
        return jobs.entrySet().stream()
                .map(entry -> entry.getValue()
                        + String.valueOf(SEPARATOR)
                        + entry.getKey().value())
                .collect(Collectors.joining(String.valueOf(LINE_END)))
                .getBytes(StandardCharsets.UTF_8);
    }
}
