package org.tarragonarch.core.action;

import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A configuration is in force from now on; the shell checks tokens against it.
 *
 * @param catalog the configuration
 * @param source the store or the peer from which it was loaded
 */
public record ConfigurationInForce(ServiceCatalog catalog, String source) implements Action {}
