package org.tarragonarch.core.submission;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.tarragonarch.model.id.SubmissionId;

/**
 * The open (not yet answered) submissions, indexed by id and by deadline.
 *
 * <p>Finding, adding and removing take amortized logarithmic time at most. Not safe for use by several threads.
 */
public final class SubmissionTable {
    private final Map<SubmissionId, Submission> open = new HashMap<>();
    private final PriorityQueue<Deadline> byDeadline = new PriorityQueue<>(Comparator.comparingLong(Deadline::nanos));

    private SubmissionTable() {}

    /** Returns a table without submissions. */
    public static SubmissionTable create() {
        return new SubmissionTable();
    }

    /**
     * Adds a submission.
     *
     * @throws IllegalStateException if a submission with this id is open already
     */
    public void add(Submission submission) {
        checkState(open.put(submission.id(), submission) == null, "submission %s is already open", submission.id());
        byDeadline.add(new Deadline(submission.deadlineNanos(), submission.id()));
    }

    /** Returns the submission with this id if it is open. */
    public Optional<Submission> find(SubmissionId id) {
        return Optional.ofNullable(open.get(id));
    }

    /** Removes a submission that is about to be answered; returns false if it was not open. */
    public boolean remove(Submission submission) {
        return open.remove(submission.id()) != null;
    }

    /** Returns the number of open submissions. */
    public int size() {
        return open.size();
    }

    /** Returns a copy of the open submissions, in no particular order. */
    public ImmutableList<Submission> openSubmissions() {
        return ImmutableList.copyOf(open.values());
    }

    /** Returns the open submission with the earliest deadline if that deadline has passed. */
    public Optional<Submission> firstExpired(long nowNanos) {
        dropAnswered();
        return Optional.ofNullable(byDeadline.peek())
                .filter(first -> first.nanos() <= nowNanos)
                .map(first -> open.get(first.submission()));
    }

    /** Returns the earliest deadline of an open submission, or {@code Long.MAX_VALUE} if there is none. */
    public long nextDeadlineNanos() {
        dropAnswered();
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.peek().nanos();
    }

    // The deadline of an answered submission stays in the heap until it is the earliest, because removing it at once
    // would take linear time. The heap holds ids, so that it does not keep answered submissions in memory.
    private void dropAnswered() {
        while (!byDeadline.isEmpty() && !open.containsKey(byDeadline.peek().submission())) {
            byDeadline.remove();
        }
    }

    private record Deadline(long nanos, SubmissionId submission) {}
}
