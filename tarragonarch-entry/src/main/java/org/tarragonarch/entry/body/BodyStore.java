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
 * The inputs and results of the submissions of this node, by submission id.
 *
 * <p>Thread-safe and non-blocking. Arrays are stored without copying and must not be modified by callers.
 *
 * <p>A submission is accepted only if its inputs fit within the limit of stored bytes. Results are always stored, as
 * their tasks have already run. They exceed the limit by at most the number of tasks in flight times the largest answer
 * that the endpoint client accepts, and count against the next submission. Results of answered submissions, stored only
 * for repeated requests, are evicted for new submissions, oldest first; otherwise the results of a few minutes would
 * make the node refuse all callers.
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
     * @param maxBytes the number of stored bytes up to which submissions are accepted; positive
     */
    public static BodyStore create(long maxBytes) {
        checkArgument(maxBytes > 0, "maxBytes %s is not positive", maxBytes);
        return new BodyStore(maxBytes);
    }

    /**
     * Stores the content of a new submission, if it fits within the limit.
     *
     * @param submission an id that was not stored before
     * @return whether the content was stored
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

    /** Returns the content of a task, if the inputs of its submission are still stored. */
    public Optional<TaskContent> task(TaskId task) {
        return find(task.submission()).flatMap(stored -> stored.task(task.index()));
    }

    /** Stores the result of a task, unless its submission was removed or the task already has a result. */
    public void putResult(TaskId task, byte[] result) {
        find(task.submission()).ifPresent(stored -> bytes.addAndGet(stored.putResult(task.index(), result)));
    }

    /** Stores the results that another node sent for a submission of this node. */
    public void putResults(SubmissionId submission, ImmutableList<byte[]> results) {
        find(submission).ifPresent(stored -> bytes.addAndGet(stored.putResults(results)));
    }

    /** Returns all results of a submission in the order of its tasks; empty if any is missing. */
    public Optional<ImmutableList<byte[]>> results(SubmissionId submission) {
        return find(submission).flatMap(StoredSubmission::results);
    }

    /** Removes the inputs of an answered submission and keeps its results for repeated requests until evicted. */
    public void removeInputs(SubmissionId submission) {
        find(submission).ifPresent(stored -> bytes.addAndGet(-stored.removeInputs()));
        answered.add(submission);
        // Answers are forgotten in the order in which they were given, so removed submissions are at the head.
        while (!answered.isEmpty() && !contains(answered.peek())) {
            answered.poll();
        }
    }

    /** Removes the inputs and results of a submission. */
    public void remove(SubmissionId submission) {
        StoredSubmission removed = bodies.remove(submission);
        if (removed != null) {
            bytes.addAndGet(-removed.close());
        }
    }

    /** Returns whether a submission is stored; always true until the submission is answered. */
    public boolean contains(SubmissionId submission) {
        return bodies.containsKey(submission);
    }

    /** Returns the number of stored bytes. */
    public long bytes() {
        return bytes.get();
    }

    /** Returns the number of stored submissions. */
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
