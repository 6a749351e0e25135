package org.tarragonarch.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.platform.Claim;

/** What this node knows under one key: the submission that runs for it, its answer, and who else waits for that. */
final class KeyEntry {
    private final Submission holder;
    private final Claim claim;
    private final List<Submission> joined = new ArrayList<>();
    private final List<PeerQuestion> questions = new ArrayList<>();
    private boolean claimAsked;
    private boolean answered;
    private Optional<Problem> problem = Optional.empty();

    KeyEntry(Submission holder, Claim claim) {
        this.holder = holder;
        this.claim = claim;
    }

    Submission holder() {
        return holder;
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
