package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The unique mark of one attempt to change the configuration.
 *
 * @param value unique text
 */
public record ChangeId(String value) {
    /** Checks that there is a value. */
    public ChangeId {
        checkNotNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
