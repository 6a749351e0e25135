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
    private final SubmissionId holderId;
    private final boolean idempotent;
    private final Claim claim;
    private final List<Submission> joined = new ArrayList<>();
    private final List<PeerQuestion> questions = new ArrayList<>();
    // Released with the answer: a job of 110 tasks holds some 17 KB, and thousands of answers are kept.
    private Optional<Submission> running;
    private boolean claimAsked;
    private boolean answered;
    private Optional<Problem> problem = Optional.empty();

    KeyEntry(Submission holder, Claim claim) {
        this.holderId = holder.id();
        this.idempotent = holder.kind().idempotent();
        this.running = Optional.of(holder);
        this.claim = claim;
    }

    /** Returns the submission that runs for the key. */
    SubmissionId holderId() {
        return holderId;
    }

    /** Returns the submission that runs for the key, until it is answered. */
    Optional<Submission> running() {
        return running;
    }

    /** Returns whether this submission runs for the key and is not answered yet. */
    boolean isRunBy(Submission submission) {
        return running.filter(holder -> holder == submission).isPresent();
    }

    /**
     * Returns whether a submission under the key may run although one was answered.
     *
     * <p>What did not run may; and work of an idempotent kind that failed or got lost does no harm by running once
     * more, while its caller would read the same failure for as long as the answer is kept.
     */
    boolean mayRunAgain() {
        return answered && (notRun() || (idempotent && problem.isPresent()));
    }

    Claim claim() {
        return claim;
    }

    void askClaim() {
        claimAsked = true;
    }

    /** Returns whether the claim was handed over to be written; kinds declared idempotent need none. */
    boolean claimAsked() {
        return claimAsked;
    }

    List<Submission> joined() {
        return joined;
    }

    List<PeerQuestion> questions() {
        return questions;
    }

    void answer(Optional<Problem> why) {
        answered = true;
        problem = why;
        running = Optional.empty();
    }

    boolean answered() {
        return answered;
    }

    boolean complete() {
        return answered && problem.isEmpty();
    }

    Optional<Problem> problem() {
        return problem;
    }

    /** Returns whether the submission ended without running, so that the key may be used again. */
    boolean notRun() {
        return problem.filter(why -> why.code().outcome() == Outcome.NOT_RUN).isPresent();
    }
}
