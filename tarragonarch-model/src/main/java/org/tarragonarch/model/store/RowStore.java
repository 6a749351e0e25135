package org.tarragonarch.model.store;

import java.util.Optional;
import java.util.function.Consumer;

/** The calls to the store; each is answered exactly once, asynchronously, on the calling thread. */
public interface RowStore {
    /** Reads a consistent snapshot of a whole table. */
    void read(StoreTable table, Consumer<Reply> reply);

    /**
     * Reads the changes after a version.
     *
     * @param waitMillis how long the store may wait for the first change, in milliseconds; 0 to not wait
     */
    void follow(StoreTable table, long afterVersion, long waitMillis, Consumer<Reply> reply);

    /** Writes a row unconditionally. */
    void put(StoreTable table, String key, byte[] value, Consumer<Reply> reply);

    /**
     * The reply to a call.
     *
     * @param result the result of the call
     * @param page the rows read; present if a read succeeded
     */
    record Reply(StoreResult result, Optional<RowPage> page) {
        /** Returns a reply without rows. */
        public static Reply of(StoreResult result) {
            return new Reply(result, Optional.empty());
        }
    }
}
