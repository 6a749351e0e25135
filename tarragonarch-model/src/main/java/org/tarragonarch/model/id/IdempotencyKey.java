package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;

/**
 * The key with which a caller marks repeated submissions as the same one.
 *
 * @param value 1 to 128 visible ASCII characters
 */
public record IdempotencyKey(String value) {
    private static final int MAX_LENGTH = 128;
    private static final CharMatcher VISIBLE = CharMatcher.inRange('!', '~');

    /** Checks the length and the characters. */
    public IdempotencyKey {
        checkNotNull(value, "value");
        checkArgument(
                !value.isEmpty() && value.length() <= MAX_LENGTH && VISIBLE.matchesAllOf(value),
                "an idempotency key is 1 to %s visible ASCII characters",
                MAX_LENGTH);
    }

    @Override
    public String toString() {
        return value;
    }
}
