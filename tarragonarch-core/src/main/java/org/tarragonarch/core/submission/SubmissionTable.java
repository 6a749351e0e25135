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
 * The submissions that have no answer yet, found by id and by deadline.
 *
 * <p>Each call takes time logarithmic in the number of submissions at most. Not safe for use by several threads.
 */
public final class SubmissionTable {
    private final Map<SubmissionId, Submission> open = new HashMap<>();
    private final PriorityQueue<Deadline> byDeadline = new PriorityQueue<>(Comparator.comparingLong(Deadline::nanos));

    private SubmissionTable() {}

    /** Returns a table without submissions. */
    public static SubmissionTable create() {
        return new SubmissionTable();
    }

    /** Records a submission that has no answer yet. */
    public void add(Submission submission) {
        checkState(open.put(submission.id(), submission) == null, "%s was taken in before", submission.id());
        byDeadline.add(new Deadline(submission.deadlineNanos(), submission.id()));
    }

    /** Returns the submission with this id if it has no answer yet. */
    public Optional<Submission> find(SubmissionId id) {
        return Optional.ofNullable(open.get(id));
    }

    /** Takes a submission out because it is about to be answered; returns false if it had been answered before. */
    public boolean remove(Submission submission) {
        return open.remove(submission.id()) != null;
    }

    /** Returns how many submissions have no answer yet. */
    public int size() {
        return open.size();
    }

    /** Returns every submission without an answer, as a copy. */
    public ImmutableList<Submission> openSubmissions() {
        return ImmutableList.copyOf(open.values());
    }

    /** Returns a submission whose deadline has passed, the earliest first. */
    public Optional<Submission> firstExpired(long nowNanos) {
        dropAnswered();
        return Optional.ofNullable(byDeadline.peek())
                .filter(first -> first.nanos() <= nowNanos)
                .map(first -> open.get(first.submission()));
    }

    /** Returns the earliest deadline; {@code Long.MAX_VALUE} for none. */
    public long nextDeadlineNanos() {
        dropAnswered();
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.peek().nanos();
    }

    // The deadline of an answered submission stays until it comes to the top: taking it out at once would cost a scan.
    // So the heap holds ids, and no submission beyond its answer.
    private void dropAnswered() {
        while (!byDeadline.isEmpty() && !open.containsKey(byDeadline.peek().submission())) {
            byDeadline.remove();
        }
    }

    private record Deadline(long nanos, SubmissionId submission) {}
}
