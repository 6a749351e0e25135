package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The scope in which an idempotency key must be unique: one caller of one service.
 *
 * @param service the service called
 * @param caller the caller that chose the key
 * @param key the caller's key
 */
public record ClaimKey(ServiceName service, CallerName caller, IdempotencyKey key) {
    /** Checks that no component is null. */
    public ClaimKey {
        checkNotNull(service, "service");
        checkNotNull(caller, "caller");
        checkNotNull(key, "key");
    }

    /** Returns the key of the claim's row in the table service. */
    @Override
    public String toString() {
        return service + "/" + caller + "/" + key;
    }
}
