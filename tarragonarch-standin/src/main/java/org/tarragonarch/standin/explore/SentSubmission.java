package org.tarragonarch.standin.explore;

import java.util.Optional;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.outcome.Problem;

/** One submission that a caller sent, and its answer once there is one. */
public final class SentSubmission {
    private final SubmissionArrived submission;
    private final boolean idempotent;
    private final long sentNanos;
    private final long deadlineNanos;
    private Optional<Problem> problem = Optional.empty();
    private long answeredNanos = -1;

    SentSubmission(SubmissionArrived submission, boolean idempotent, long sentNanos, long deadlineNanos) {
        this.submission = submission;
        this.idempotent = idempotent;
        this.sentNanos = sentNanos;
        this.deadlineNanos = deadlineNanos;
    }

    /** Returns the submission as it arrived at the node. */
    public SubmissionArrived submission() {
        return submission;
    }

    /** Returns whether the kind of the submission is idempotent. */
    public boolean idempotent() {
        return idempotent;
    }

    /** Returns when the submission was sent, in virtual nanoseconds. */
    public long sentNanos() {
        return sentNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    Optional<ClaimKey> claimKey() {
        return submission.key().map(key -> new ClaimKey(submission.service(), submission.caller(), key));
    }

    void recordAnswer(Optional<Problem> newProblem, long nowNanos) {
        problem = newProblem;
        answeredNanos = nowNanos;
    }

    /** Returns whether the caller received an answer. */
    public boolean isAnswered() {
        return answeredNanos >= 0;
    }

    /** Returns when the caller received the answer, in virtual nanoseconds; -1 if there is none. */
    public long answeredNanos() {
        return answeredNanos;
    }

    /** Returns the outcome's word, or {@code none} while there is no answer. */
    public String outcome() {
        if (!isAnswered()) {
            return "none";
        }
        return problem.map(cause -> cause.code().outcome().word()).orElse("complete");
    }

    /** Returns the problem, if the answer was one. */
    public Optional<Problem> problem() {
        return problem;
    }
}
