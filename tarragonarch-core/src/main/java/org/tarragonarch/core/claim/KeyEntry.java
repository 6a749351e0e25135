package org.tarragonarch.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.platform.Claim;

/** The state of one key at this node: the submission that runs, its answer, and who else waits for the answer. */
final class KeyEntry {
    private final SubmissionId submissionId;
    private final boolean idempotent;
    private final Claim claim;
    private final List<Submission> joined = new ArrayList<>();
    private final List<PeerQuestion> questions = new ArrayList<>();
    // Cleared with the answer to free memory: a job of 110 tasks takes about 17 KB, and thousands of answers are kept.
    private Optional<Submission> runningSubmission;
    private boolean claimRequested;
    private boolean answered;
    private Optional<Problem> problem = Optional.empty();

    KeyEntry(Submission submission, Claim claim) {
        this.submissionId = submission.id();
        this.idempotent = submission.kind().idempotent();
        this.runningSubmission = Optional.of(submission);
        this.claim = claim;
    }

    /** Returns the id of the submission that runs, or ran, under the key. */
    SubmissionId submissionId() {
        return submissionId;
    }

    /** Returns the submission that runs under the key; empty once it is answered. */
    Optional<Submission> runningSubmission() {
        return runningSubmission;
    }

    /** Returns whether the given submission runs under the key and is not answered yet. */
    boolean isRunBy(Submission submission) {
        return runningSubmission.filter(running -> running == submission).isPresent();
    }

    /**
     * Returns whether a new submission may run although an earlier one was answered.
     *
     * <p>It may if the earlier one did not run. It also may if the kind is idempotent and the earlier one failed or
     * was lost, since otherwise the caller would get the same failure for as long as the answer is kept.
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

    /** Returns whether the claim was passed on for writing; idempotent kinds need no claim. */
    boolean isClaimRequested() {
        return claimRequested;
    }

    List<Submission> joined() {
        return joined;
    }

    List<PeerQuestion> questions() {
        return questions;
    }

    void recordAnswer(Optional<Problem> newProblem) {
        answered = true;
        problem = newProblem;
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

    /** Returns whether the submission ended without running, which frees the key. */
    boolean endedWithoutRun() {
        return problem.filter(value -> value.code().outcome() == Outcome.NOT_RUN)
                .isPresent();
    }
}
