package org.tarragonarch.entry.platform;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.settings.CatalogReader;
import org.tarragonarch.settings.SettingsException;

/** Checks and parses the text of a configuration, wherever it came from. Safe for use by several threads. */
public final class ConfigurationLoader {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConfigurationTexts texts;

    private ConfigurationLoader(ConfigurationTexts texts) {
        this.texts = texts;
    }

    /** Returns a loader that keeps the texts it accepts. */
    public static ConfigurationLoader create(ConfigurationTexts texts) {
        return new ConfigurationLoader(texts);
    }

    /**
     * Returns the event that hands a text to the core.
     *
     * @param version the version that was asked for
     * @param digest the digest that it must have, where it is known
     * @param canonical the text as it came
     * @param source where it came from
     */
    public Event load(ConfigurationVersion version, Optional<ContentDigest> digest, byte[] canonical, String source) {
        ContentDigest found = ContentDigest.of(canonical);
        if (digest.isPresent() && !digest.get().equals(found)) {
            return loadFailed(version, source, "its digest is " + found + " where " + digest.get() + " is due");
        }
        try {
            ServiceCatalog catalog = CatalogReader.read(version, canonical);
            texts.keep(catalog, canonical);
            return new ConfigurationLoaded(catalog, source);
        } catch (SettingsException e) {
            return loadFailed(version, source, e.getMessage());
        }
    }

    /** Returns the event that reports to the core that nothing came, and logs it. */
    public Event loadFailed(ConfigurationVersion version, String source, String detail) {
        LOG.atWarning().log(
                "%s",
                LogLine.of("configuration-load-failed", Step.CONFIGURE, source)
                        .with("version", version)
                        .with("detail", detail));
        return new ConfigurationLoadFailed(version, source, detail);
    }
}
