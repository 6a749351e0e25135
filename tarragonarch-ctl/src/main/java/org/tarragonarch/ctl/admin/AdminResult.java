package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.id.Address;

/**
 * What one of several nodes answered: a value, or why there is none.
 *
 * @param node the administration address asked
 * @param value the answer
 * @param failure why there is no answer
 */
public record AdminResult<T>(Address node, Optional<T> value, Optional<AdminException> failure) {
    /** Checks the parts. */
    public AdminResult {
        checkNotNull(node, "node");
        checkNotNull(value, "value");
        checkNotNull(failure, "failure");
    }

    static <T> AdminResult<T> of(Address node, T value) {
        return new AdminResult<>(node, Optional.of(value), Optional.empty());
    }

    static <T> AdminResult<T> failed(Address node, AdminException failure) {
        return new AdminResult<>(node, Optional.empty(), Optional.of(failure));
    }
}
