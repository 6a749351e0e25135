package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.Verdict;

/**
 * Why a task is not started again, which settles its job.
 *
 * <p>Only the used up attempts are a failure of the task. An endpoint that crashes, or that cannot be reached, tells
 * nothing certain about what it ran.
 */
public enum AbandonGround {
    /** As many of its runs have failed as its queue allows. */
    ATTEMPTS_USED(Verdict.FAILED),
    /** Too many endpoints crashed while they ran it. */
    ENDPOINTS_CRASHED(Verdict.TOO_LATE),
    /** Too many of its runs were lost with their endpoints. */
    RUNS_LOST(Verdict.TOO_LATE),
    /** An endpoint could not read the order to start it. */
    ORDER_UNREADABLE(Verdict.TOO_LATE);

    private final Verdict verdict;

    AbandonGround(Verdict verdict) {
        this.verdict = checkNotNull(verdict, "verdict");
    }

    /** Returns the verdict on the job of the task. */
    Verdict verdict() {
        return verdict;
    }
}
