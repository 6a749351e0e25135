package org.tarragonarch.model.store;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A page of rows returned by the store.
 *
 * @param rows the rows
 * @param version the version of the store that the rows reflect, from which to follow further changes
 */
public record RowPage(ImmutableList<StoreRow> rows, long version) {
    /** Checks that the list is not null. */
    public RowPage {
        checkNotNull(rows, "rows");
    }

    /** Returns the rows of this page followed by those of a later one, with the version of this page. */
    public RowPage followedBy(RowPage later) {
        return new RowPage(
                ImmutableList.<StoreRow>builder()
                        .addAll(rows)
                        .addAll(later.rows)
                        .build(),
                version);
    }
}
