package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.id.Address;

/**
 * The result of a call to one of several nodes: a value or a failure.
 *
 * @param node the administration address that was called
 * @param value the value, if the call succeeded
 * @param failure the failure, if the call failed
 */
public record AdminResult<T>(Address node, Optional<T> value, Optional<AdminException> failure) {
    /** Creates a result. */
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
