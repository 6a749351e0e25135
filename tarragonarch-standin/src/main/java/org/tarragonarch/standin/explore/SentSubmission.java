package org.tarragonarch.standin.explore;

import java.util.Optional;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.outcome.Problem;

/** One submission that a caller sent, and what became of it. */
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

    /** Returns what was sent. */
    public SubmissionArrived submission() {
        return submission;
    }

    /** Returns whether its kind is idempotent. */
    public boolean idempotent() {
        return idempotent;
    }

    /** Returns when it was sent. */
    public long sentNanos() {
        return sentNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    Optional<ClaimKey> claimKey() {
        return submission.key().map(key -> new ClaimKey(submission.service(), submission.caller(), key));
    }

    void recordAnswer(Optional<Problem> why, long nowNanos) {
        problem = why;
        answeredNanos = nowNanos;
    }

    /** Returns whether the caller was answered. */
    public boolean isAnswered() {
        return answeredNanos >= 0;
    }

    /** Returns when the caller was answered; -1 if it was not. */
    public long answeredNanos() {
        return answeredNanos;
    }

    /** Returns the word of the outcome, or {@code none} while there is no answer. */
    public String outcome() {
        if (!isAnswered()) {
            return "none";
        }
        return problem.map(why -> why.code().outcome().word()).orElse("complete");
    }

    /** Returns why there are no results, if the caller was answered so. */
    public Optional<Problem> problem() {
        return problem;
    }
}
