package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A merged configuration that passed all checks and is not accepted yet.
 *
 * @param files the file names, in merge order
 * @param canonical the canonical text; callers must not change it
 * @param catalog the catalog that the text defines, with version 0
 */
public record CheckedConfiguration(ImmutableList<String> files, byte[] canonical, ServiceCatalog catalog) {
    /** Creates a checked configuration. */
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
