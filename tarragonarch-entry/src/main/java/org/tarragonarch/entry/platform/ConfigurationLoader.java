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

/** Verifies and parses configuration texts from any source. Thread-safe. */
public final class ConfigurationLoader {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConfigurationTexts texts;

    private ConfigurationLoader(ConfigurationTexts texts) {
        this.texts = texts;
    }

    /** Creates a loader that adds valid texts to {@code texts}. */
    public static ConfigurationLoader create(ConfigurationTexts texts) {
        return new ConfigurationLoader(texts);
    }

    /**
     * Loads a text and returns the event that reports the result to the core.
     *
     * @param version the requested version
     * @param digest the expected digest, if known
     * @param canonical the text as received
     * @param source the name of the source
     */
    public Event load(ConfigurationVersion version, Optional<ContentDigest> digest, byte[] canonical, String source) {
        ContentDigest found = ContentDigest.of(canonical);
        if (digest.isPresent() && !digest.get().equals(found)) {
            return loadFailed(version, source, "digest mismatch: expected " + digest.get() + ", got " + found);
        }
        try {
            ServiceCatalog catalog = CatalogReader.read(version, canonical);
            texts.keep(catalog, canonical);
            return new ConfigurationLoaded(catalog, source);
        } catch (SettingsException e) {
            return loadFailed(version, source, e.getMessage());
        }
    }

    /** Logs a failed load and returns the event that reports it to the core. */
    public Event loadFailed(ConfigurationVersion version, String source, String detail) {
        LOG.atWarning().log(
                "%s",
                LogLine.of("configuration-load-failed", Step.CONFIGURE, source)
                        .with("version", version)
                        .with("detail", detail));
        return new ConfigurationLoadFailed(version, source, detail);
    }
}
