package org.tarragonarch.settings;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.ServiceCatalog;

/** Reads a catalog from the canonical text of a configuration, with the checks made on a folder. */
public final class CatalogReader {
    private CatalogReader() {}

    /**
     * Returns the catalog that the text defines.
     *
     * @param version the version of the configuration
     * @param canonical the canonical text
     * @throws SettingsException if there are mistakes; their lines refer to the canonical text
     */
    public static ServiceCatalog read(ConfigurationVersion version, byte[] canonical) throws SettingsException {
        String source = "configuration " + version;
        MistakeCollector mistakes = new MistakeCollector();
        SettingsObject root = SettingsObject.parse(source, canonical, mistakes);
        mistakes.throwIfAny(source);
        ServiceCatalog catalog = new CatalogBuilder(root).build(version, ContentDigest.of(canonical));
        mistakes.throwIfAny(source);
        return catalog;
    }
}
