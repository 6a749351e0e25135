package org.tarragonarch.core.follow;

import org.tarragonarch.model.store.RowPage;

/** Takes what a {@link TableFollower} learns. */
public interface TableListener {
    /** The whole table, as of the page's version. */
    void tableReplaced(RowPage page);

    /** Rows that were written or deleted up to the page's version, in order; at least one. */
    void rowsChanged(RowPage page);

    /**
     * The store has answered, and every row that it had has been handed over.
     *
     * @param asOfMillis the latest moment, on the steady clock, as of which that certainly is all there is to know
     */
    void currentAsOf(long asOfMillis);

    /** What the store answered could not be taken; the table is read whole again. */
    void rowsUnusable(RuntimeException why);

    /** The store cannot be read; what is known grows old from now on. */
    void storeLost(FailedCall call);

    /** Another call has failed since the store was lost. */
    void storeStillLost(FailedCall call);

    /** The store can be read again. */
    void storeRegained(long awayMillis);
}
