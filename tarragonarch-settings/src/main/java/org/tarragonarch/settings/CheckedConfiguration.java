package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A configuration that was merged and found without a mistake, not yet accepted.
 *
 * @param files the names of the files, in the order in which they were merged
 * @param canonical the canonical text; callers must not change it
 * @param catalog what the text defines, under version 0
 */
public record CheckedConfiguration(ImmutableList<String> files, byte[] canonical, ServiceCatalog catalog) {
    /** Checks the parts. */
    public CheckedConfiguration {
        checkNotNull(files, "files");
        checkNotNull(canonical, "canonical");
        checkNotNull(catalog, "catalog");
    }

    /** Returns the digest of the canonical text. */
    public ContentDigest digest() {
        return catalog.digest();
    }
}
