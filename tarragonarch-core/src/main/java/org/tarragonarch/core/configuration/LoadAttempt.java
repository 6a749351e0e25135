package org.tarragonarch.core.configuration;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A load of a configuration in progress.
 *
 * @param source the source that was asked
 * @param version the requested version
 * @param timeoutNanos when the attempt counts as failed; a configuration that arrives later is still considered
 */
record LoadAttempt(Source source, ConfigurationVersion version, long timeoutNanos) {}
