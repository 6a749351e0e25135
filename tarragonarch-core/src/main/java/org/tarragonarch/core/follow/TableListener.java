package org.tarragonarch.core.follow;

import org.tarragonarch.model.store.RowPage;

/** Takes what a {@link TableFollower} learns. */
public interface TableListener {
    /** The whole table, as of the page's version. */
    void replaced(RowPage page);

    /** Rows that were written or deleted up to the page's version, in order; at least one. */
    void changed(RowPage page);

    /**
     * The store has answered, and every row that it had has been handed over.
     *
     * @param asOfMillis the latest moment, on the steady clock, as of which that certainly is all there is to know
     */
    void current(long asOfMillis);

    /** What the store answered could not be taken; the table is read whole again. */
    void unusable(RuntimeException why);

    /** The store cannot be read; what is known grows old from now on. */
    void lost(FailedCall call);

    /** Another call has failed since the store was lost. */
    void stillLost(FailedCall call);

    /** The store can be read again. */
    void regained(long awayMillis);
}
