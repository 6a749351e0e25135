package org.tarragonarch.core.follow;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.store.StoreRow;

/** Takes what a {@link TableFollower} learns. */
public interface TableListener {
    /** The whole table, as it is now. */
    void replaced(ImmutableList<StoreRow> rows);

    /** Rows that were written or deleted, in order. */
    void changed(ImmutableList<StoreRow> rows);

    /** The store cannot be read; what is known grows old from now on. */
    void lost();

    /** The store can be read again. */
    void regained(long awayMillis);
}
