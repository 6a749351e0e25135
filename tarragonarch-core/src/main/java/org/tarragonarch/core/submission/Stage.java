package org.tarragonarch.core.submission;

import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** How far a submission is on its way; the stage decides what a deadline or a cancel means for it. */
public enum Stage {
    /** Its key is being claimed, so nothing of it can have left this node. */
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
    /** Another node holds its key and was asked for the answer. */
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
    /** An earlier submission of this node under the same key is running, and will answer this one too. */
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
    /** Its tasks wait for slots or run. */
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

    /** Returns the step that a problem at this stage names. */
    public Step step() {
        return step;
    }

    /** Returns the problem of a submission whose deadline passes at this stage. */
    public abstract ProblemCode expiryCode(boolean mayHaveRun);

    /** Returns the problem of a submission that is cancelled at this stage. */
    public abstract ProblemCode cancellationCode(boolean mayHaveRun);
}
