package org.tarragonarch.model.store;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A row of a table, or the deletion of one.
 *
 * @param key the key of the row within its table
 * @param value the bytes of the row, which are not copied and must not be modified; empty if the row was deleted
 * @param deleted whether the row was deleted
 */
public record StoreRow(String key, byte[] value, boolean deleted) {
    /** Checks that the key and the value are not null. */
    public StoreRow {
        checkNotNull(key, "key");
        checkNotNull(value, "value");
    }
}
