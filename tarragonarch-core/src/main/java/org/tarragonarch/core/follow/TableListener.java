package org.tarragonarch.core.follow;

import org.tarragonarch.model.store.RowPage;

/** Listener for the contents of a table and the outages of its store; see {@link TableFollower}. */
public interface TableListener {
    /** The table was read whole; the page has all its rows as of the page's version. */
    void tableReplaced(RowPage page);

    /** Rows were written or deleted; the page has at least one, in order, up to the page's version. */
    void rowsChanged(RowPage page);

    /**
     * The store answered, and this listener has received every row.
     *
     * @param asOfMillis the latest time, on the steady clock, at which the received rows certainly were complete
     */
    void currentAsOf(long asOfMillis);

    /** This listener threw an exception when it received rows; the table is read whole again. */
    void rowsUnusable(RuntimeException cause);

    /** A call failed; the received rows may be outdated from now on. */
    void storeLost(FailedCall call);

    /** Another call failed since the store was lost. */
    void storeStillLost(FailedCall call);

    /**
     * The store can be read again.
     *
     * @param outageMillis the time since the first failed call ended, in milliseconds
     */
    void storeRegained(long outageMillis);
}
