package org.tarragonarch.core.claim;

import java.time.Duration;
import org.tarragonarch.core.submission.RetryAfterBounds;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** Creates the problems that end a submission because of its idempotency key. */
final class KeyProblems {
    private static final String TABLE_SERVICE = "table service";

    private KeyProblems() {}

    /** Returns the problem of a claim that could not be written or read in time. */
    static Problem claimUnavailable(Duration claimTimeout) {
        return Problem.of(
                        ProblemCode.CLAIM_UNAVAILABLE,
                        Step.CLAIM,
                        TABLE_SERVICE,
                        "the idempotency key could not be claimed")
                .withRetryAfter(RetryAfterBounds.clamp(claimTimeout));
    }

    /** Returns the problem of a key held by another node, or by an earlier incarnation, without an answer. */
    static Problem heldElsewhere(String detail) {
        return Problem.of(ProblemCode.HELD_ELSEWHERE, Step.CLAIM, TABLE_SERVICE, detail);
    }

    /** Returns the problem of a key that was used with different content. */
    static Problem keyReused(ClaimKey key) {
        return Problem.of(
                ProblemCode.KEY_REUSED,
                Step.CLAIM,
                "caller",
                "the idempotency key " + key.key() + " was used before with different content");
    }
}
