package org.tarragonarch.entry.body;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;

/**
 * The inputs and results of the submissions of this node, by id.
 *
 * <p>Safe for use by several threads; no operation blocks. The arrays handed in are kept, not copied, and must not be
 * changed afterwards.
 *
 * <p>Bound: a submission is taken only while the bytes kept are below the limit. Results are kept whatever the sum, as
 * their tasks have run already; what they add is bounded by the tasks in flight times the largest answer that the
 * endpoint client accepts, and it counts against the next submission. Results that are only kept for a second caller
 * make room for new work, the oldest first: without that, minutes of kept results would have the node refuse everyone.
 */
public final class BodyStore {
    private final long maxBytes;
    private final AtomicLong bytes = new AtomicLong();
    private final ConcurrentMap<SubmissionId, StoredSubmission> bodies = new ConcurrentHashMap<>();
    private final Queue<SubmissionId> answered = new ConcurrentLinkedQueue<>();

    private BodyStore(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns an empty store.
     *
     * @param maxBytes the sum of bytes up to which submissions are taken; positive
     */
    public static BodyStore create(long maxBytes) {
        checkArgument(maxBytes > 0, "maxBytes %s is not positive", maxBytes);
        return new BodyStore(maxBytes);
    }

    /**
     * Keeps the content of a new submission, if there is room.
     *
     * @param submission an id that was not kept before
     * @param content what it asks for
     * @return whether it was kept
     */
    public boolean put(SubmissionId submission, SubmissionContent content) {
        long size = size(content.inputs());
        if (bytes.addAndGet(size) > maxBytes && !evictAnswered()) {
            bytes.addAndGet(-size);
            return false;
        }
        bodies.put(submission, new StoredSubmission(content, size));
        return true;
    }

    /** Returns what a task asks for, if its submission is still kept. */
    public Optional<TaskContent> task(TaskId task) {
        return find(task.submission()).flatMap(kept -> kept.task(task.index()));
    }

    /** Keeps the result of a task; passed over if its submission is no longer kept. */
    public void putResult(TaskId task, byte[] result) {
        find(task.submission()).ifPresent(kept -> bytes.addAndGet(kept.putResult(task.index(), result)));
    }

    /** Keeps the results that another node gave for a submission that waits here. */
    public void putResults(SubmissionId submission, ImmutableList<byte[]> results) {
        find(submission).ifPresent(kept -> bytes.addAndGet(kept.putResults(results)));
    }

    /** Returns every result of a submission in the order of its tasks; empty unless all are there. */
    public Optional<ImmutableList<byte[]>> results(SubmissionId submission) {
        return find(submission).flatMap(StoredSubmission::results);
    }

    /** Drops the inputs of a submission that was answered but keeps its results for a second caller. */
    public void removeInputs(SubmissionId submission) {
        find(submission).ifPresent(kept -> bytes.addAndGet(-kept.removeInputs()));
        answered.add(submission);
        // Answers are forgotten in the order in which they were given, so what is gone stands in front.
        while (!answered.isEmpty() && !contains(answered.peek())) {
            answered.poll();
        }
    }

    /** Drops all that is kept for a submission. */
    public void remove(SubmissionId submission) {
        StoredSubmission dropped = bodies.remove(submission);
        if (dropped != null) {
            bytes.addAndGet(-dropped.close());
        }
    }

    /** Returns whether anything is kept for a submission, as is so until it is answered. */
    public boolean contains(SubmissionId submission) {
        return bodies.containsKey(submission);
    }

    /** Returns the sum of the bytes kept. */
    public long bytes() {
        return bytes.get();
    }

    /** Returns how many submissions have bodies here. */
    public int submissionCount() {
        return bodies.size();
    }

    private boolean evictAnswered() {
        while (bytes.get() > maxBytes) {
            SubmissionId oldest = answered.poll();
            if (oldest == null) {
                return false;
            }
            remove(oldest);
        }
        return true;
    }

    private Optional<StoredSubmission> find(SubmissionId submission) {
        return Optional.ofNullable(bodies.get(submission));
    }

    static long size(Iterable<byte[]> parts) {
        long size = 0;
        for (byte[] part : parts) {
            size += part.length;
        }
        return size;
    }
}
