package org.tarragonarch.core.event;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A configuration could not be loaded.
 *
 * @param version the version asked for
 * @param source the store or the peer that was asked
 * @param detail a sentence for a person
 */
public record ConfigurationLoadFailed(ConfigurationVersion version, String source, String detail) implements Event {}
