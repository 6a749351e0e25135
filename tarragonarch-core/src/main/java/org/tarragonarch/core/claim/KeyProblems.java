package org.tarragonarch.core.claim;

import java.time.Duration;
import org.tarragonarch.core.submission.RetryAfterBounds;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** The problems that end a submission because of its idempotency key. */
final class KeyProblems {
    private static final String TABLE_SERVICE = "table service";

    private KeyProblems() {}

    /** The claim could not be written or read in time. */
    static Problem unavailable(Duration claimTimeout) {
        return Problem.of(
                        ProblemCode.CLAIM_UNAVAILABLE,
                        Step.CLAIM,
                        TABLE_SERVICE,
                        "the idempotency key could not be claimed")
                .withRetryAfter(RetryAfterBounds.clamp(claimTimeout));
    }

    /** Another node, or an earlier run of this one, holds the key and gives no answer. */
    static Problem heldElsewhere(String detail) {
        return Problem.of(ProblemCode.HELD_ELSEWHERE, Step.CLAIM, TABLE_SERVICE, detail);
    }

    /** The key was used for other content. */
    static Problem keyReused(ClaimKey key) {
        return Problem.of(
                ProblemCode.KEY_REUSED,
                Step.CLAIM,
                "caller",
                "the idempotency key " + key.key() + " came before with other content");
    }
}
