package org.tarragonarch.core.submission;

import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** The stages of an open submission; the stage determines the problem it ends with at its deadline or a cancel. */
public enum Stage {
    /** The idempotency key is being claimed; no task has been sent. */
    CLAIMING(Step.CLAIM) {
        @Override
        public ProblemCode expiryCode(boolean mayHaveRun) {
            return ProblemCode.CLAIM_UNAVAILABLE;
        }

        @Override
        public ProblemCode cancellationCode(boolean mayHaveRun) {
            return ProblemCode.CANCELLED;
        }
    },
    /** Another node holds the claim on the idempotency key and was asked for the answer. */
    ASKING_HOLDER(Step.PEER) {
        @Override
        public ProblemCode expiryCode(boolean mayHaveRun) {
            return ProblemCode.HELD_ELSEWHERE;
        }

        @Override
        public ProblemCode cancellationCode(boolean mayHaveRun) {
            return ProblemCode.CANCELLED_WHILE_RUNNING;
        }
    },
    /** An earlier submission of this node with the same key is open; its answer will answer this one too. */
    JOINED(Step.RUN) {
        @Override
        public ProblemCode expiryCode(boolean mayHaveRun) {
            return ProblemCode.DEADLINE_PASSED;
        }

        @Override
        public ProblemCode cancellationCode(boolean mayHaveRun) {
            return ProblemCode.CANCELLED_WHILE_RUNNING;
        }
    },
    /** The tasks wait for slots or run. */
    DISPATCHED(Step.QUEUE) {
        @Override
        public ProblemCode expiryCode(boolean mayHaveRun) {
            return mayHaveRun ? ProblemCode.DEADLINE_PASSED : ProblemCode.EXPIRED_IN_QUEUE;
        }

        @Override
        public ProblemCode cancellationCode(boolean mayHaveRun) {
            return mayHaveRun ? ProblemCode.CANCELLED_WHILE_RUNNING : ProblemCode.CANCELLED;
        }
    };

    private final Step step;

    Stage(Step step) {
        this.step = step;
    }

    /** Returns the step named in problems that arise at this stage. */
    public Step step() {
        return step;
    }

    /** Returns the code of the problem of a submission whose deadline passes at this stage. */
    public abstract ProblemCode expiryCode(boolean mayHaveRun);

    /** Returns the code of the problem of a submission that is cancelled at this stage. */
    public abstract ProblemCode cancellationCode(boolean mayHaveRun);
}
