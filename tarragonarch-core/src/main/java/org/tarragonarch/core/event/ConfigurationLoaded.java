package org.tarragonarch.core.event;

import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A configuration was loaded whole, its digest matched, and it was parsed.
 *
 * @param catalog the configuration
 * @param source the store or the peer that it came from, for the log
 */
public record ConfigurationLoaded(ServiceCatalog catalog, String source) implements Event {}
