package org.tarragonarch.entry.catalog;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * The canonical texts of the configurations loaded of late, which peers ask for when the store is out.
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigurationTexts {
    private static final int KEPT = 4;

    private final Cache<ConfigurationVersion, Text> texts =
            CacheBuilder.newBuilder().maximumSize(KEPT).build();

    private ConfigurationTexts() {}

    /** Returns an empty holder. */
    public static ConfigurationTexts create() {
        return new ConfigurationTexts();
    }

    /** Keeps the text of a configuration that was loaded and parsed. */
    public void keep(ServiceCatalog catalog, byte[] canonical) {
        texts.put(catalog.version(), new Text(catalog, canonical));
    }

    /** Returns the canonical text of a configuration, if it is still here and has the same digest. */
    public Optional<byte[]> find(ServiceCatalog catalog) {
        return Optional.ofNullable(texts.getIfPresent(catalog.version()))
                .filter(text -> text.catalog.digest().equals(catalog.digest()))
                .map(Text::canonical);
    }

    private record Text(ServiceCatalog catalog, byte[] canonical) {}
}
