package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The unique id of one attempt to change the configuration.
 *
 * @param value unique text
 */
public record ChangeId(String value) {
    /** Checks that the value is not null. */
    public ChangeId {
        checkNotNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
