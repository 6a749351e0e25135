package org.tarragonarch.entry.body;

import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * What one task asks for.
 *
 * @param service the service called
 * @param kind the kind asked for
 * @param input the JSON text of the input
 */
public record TaskContent(ServiceName service, KindName kind, byte[] input) {}
