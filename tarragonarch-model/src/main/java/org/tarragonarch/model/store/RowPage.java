package org.tarragonarch.model.store;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Rows as the store gave them.
 *
 * @param rows the rows
 * @param version the store's version that they are as of; following goes on from there
 */
public record RowPage(ImmutableList<StoreRow> rows, long version) {
    /** Checks the parts. */
    public RowPage {
        checkNotNull(rows, "rows");
    }

    /** Returns the rows of this page and then those of a later one, as of this page's version. */
    public RowPage followedBy(RowPage later) {
        return new RowPage(
                ImmutableList.<StoreRow>builder()
                        .addAll(rows)
                        .addAll(later.rows)
                        .build(),
                version);
    }
}
