package org.tarragonarch.settings;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.ServiceCatalog;

/** Reads the canonical text of a configuration, with the same checks that a folder gets. */
public final class CatalogReader {
    private CatalogReader() {}

    /**
     * Returns the catalog that the text defines.
     *
     * @param version the version under which it was accepted
     * @param canonical the canonical text
     * @throws SettingsException that names every mistake; the lines are those of the canonical text
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
