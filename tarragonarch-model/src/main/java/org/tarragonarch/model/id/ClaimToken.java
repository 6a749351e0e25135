package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The unique token of one attempt to claim a key.
 *
 * <p>If the reply to a write was lost, comparing this token with the row read back shows whether the write succeeded.
 *
 * @param value unique text; a submission id in practice
 */
public record ClaimToken(String value) {
    /** Checks that the value is not null. */
    public ClaimToken {
        checkNotNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
