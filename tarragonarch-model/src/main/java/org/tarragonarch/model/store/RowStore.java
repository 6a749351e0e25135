package org.tarragonarch.model.store;

import java.util.Optional;
import java.util.function.Consumer;

/** The calls to the store; each reply comes once, later, on the thread that called. */
public interface RowStore {
    /** Reads a whole table as of one moment. */
    void read(StoreTable table, Consumer<Reply> reply);

    /**
     * Reads the changes after a version.
     *
     * @param waitMillis how long the store may wait for the first one, in milliseconds; 0 to be answered at once
     */
    void follow(StoreTable table, long afterVersion, long waitMillis, Consumer<Reply> reply);

    /** Writes a row whatever it held before. */
    void put(StoreTable table, String key, byte[] value, Consumer<Reply> reply);

    /**
     * How a call ended.
     *
     * @param result whether it was carried out
     * @param page what was read; present if a read was carried out
     */
    record Reply(StoreResult result, Optional<RowPage> page) {
        /** Returns a reply without rows. */
        public static Reply of(StoreResult result) {
            return new Reply(result, Optional.empty());
        }
    }
}
