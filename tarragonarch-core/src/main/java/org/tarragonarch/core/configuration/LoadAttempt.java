package org.tarragonarch.core.configuration;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A load that is under way.
 *
 * @param source where it was asked for
 * @param version the version asked for
 * @param timeoutNanos when it counts as failed; what comes later is still looked at
 */
record LoadAttempt(Source source, ConfigurationVersion version, long timeoutNanos) {}
