package org.tarragonarch.entry.catalog;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A cache of the canonical texts of recent configurations, for peers that cannot reach the object store.
 *
 * <p>Thread-safe.
 */
public final class ConfigurationTexts {
    private static final int MAX_TEXTS = 4;

    private final Cache<ConfigurationVersion, Text> texts =
            CacheBuilder.newBuilder().maximumSize(MAX_TEXTS).build();

    private ConfigurationTexts() {}

    /** Returns an empty cache. */
    public static ConfigurationTexts create() {
        return new ConfigurationTexts();
    }

    /** Adds the text that {@code catalog} was parsed from. */
    public void keep(ServiceCatalog catalog, byte[] canonical) {
        texts.put(catalog.version(), new Text(catalog, canonical));
    }

    /** Returns the canonical text of a configuration, if it is cached with the same digest. */
    public Optional<byte[]> find(ServiceCatalog catalog) {
        return Optional.ofNullable(texts.getIfPresent(catalog.version()))
                .filter(text -> text.catalog.digest().equals(catalog.digest()))
                .map(Text::canonical);
    }

    private record Text(ServiceCatalog catalog, byte[] canonical) {}
}
