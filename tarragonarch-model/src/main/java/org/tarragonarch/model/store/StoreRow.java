package org.tarragonarch.model.store;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A row of a table, or the news that it was deleted.
 *
 * @param key names the row within its table
 * @param value the row's bytes; not copied, and not to be changed
 * @param deleted whether the row is gone; its value is empty then
 */
public record StoreRow(String key, byte[] value, boolean deleted) {
    /** Checks the parts. */
    public StoreRow {
        checkNotNull(key, "key");
        checkNotNull(value, "value");
    }
}
