package org.tarragonarch.core.event;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A configuration could not be loaded.
 *
 * @param version the requested version
 * @param source the store or the peer that was asked
 * @param detail a human-readable description
 */
public record ConfigurationLoadFailed(ConfigurationVersion version, String source, String detail) implements Event {}
