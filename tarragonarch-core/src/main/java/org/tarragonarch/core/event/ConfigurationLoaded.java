package org.tarragonarch.core.event;

import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A configuration was loaded, matched its digest and was parsed.
 *
 * @param catalog the configuration
 * @param source the store or the peer from which it was loaded, for the log
 */
public record ConfigurationLoaded(ServiceCatalog catalog, String source) implements Event {}
