package org.tarragonarch.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.platform.Claim;

/** What this node knows under one key: the submission that runs for it, its answer, and who else waits for that. */
final class KeyEntry {
    private final SubmissionId submissionId;
    private final boolean idempotent;
    private final Claim claim;
    private final List<Submission> joined = new ArrayList<>();
    private final List<PeerQuestion> questions = new ArrayList<>();
    // Released with the answer: a job of 110 tasks holds some 17 KB, and thousands of answers are kept.
    private Optional<Submission> runningSubmission;
    private boolean claimRequested;
    private boolean answered;
    private Optional<Problem> problem = Optional.empty();

    KeyEntry(Submission holder, Claim claim) {
        this.submissionId = holder.id();
        this.idempotent = holder.kind().idempotent();
        this.runningSubmission = Optional.of(holder);
        this.claim = claim;
    }

    /** Returns the submission that runs for the key. */
    SubmissionId submissionId() {
        return submissionId;
    }

    /** Returns the submission that runs for the key, until it is answered. */
    Optional<Submission> runningSubmission() {
        return runningSubmission;
    }

    /** Returns whether this submission runs for the key and is not answered yet. */
    boolean isRunBy(Submission submission) {
        return runningSubmission.filter(holder -> holder == submission).isPresent();
    }

    /**
     * Returns whether a submission under the key may run although one was answered.
     *
     * <p>What did not run may; and work of an idempotent kind that failed or got lost does no harm by running once
     * more, while its caller would read the same failure for as long as the answer is kept.
     */
    boolean mayRunAgain() {
        return answered && (endedWithoutRun() || (idempotent && problem.isPresent()));
    }

    Claim claim() {
        return claim;
    }

    void markClaimRequested() {
        claimRequested = true;
    }

    /** Returns whether the claim was handed over to be written; kinds declared idempotent need none. */
    boolean isClaimRequested() {
        return claimRequested;
    }

    List<Submission> joined() {
        return joined;
    }

    List<PeerQuestion> questions() {
        return questions;
    }

    void recordAnswer(Optional<Problem> why) {
        answered = true;
        problem = why;
        runningSubmission = Optional.empty();
    }

    boolean isAnswered() {
        return answered;
    }

    boolean isComplete() {
        return answered && problem.isEmpty();
    }

    Optional<Problem> problem() {
        return problem;
    }

    /** Returns whether the submission ended without running, so that the key may be used again. */
    boolean endedWithoutRun() {
        return problem.filter(why -> why.code().outcome() == Outcome.NOT_RUN).isPresent();
    }
}
