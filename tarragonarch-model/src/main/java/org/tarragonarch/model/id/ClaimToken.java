package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The unique mark of one attempt to claim a key.
 *
 * <p>A write whose reply was lost is settled by reading the row back and comparing this token.
 *
 * @param value unique text; a submission id in practice
 */
public record ClaimToken(String value) {
    /** Checks that there is a value. */
    public ClaimToken {
        checkNotNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
