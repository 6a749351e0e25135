package org.tarragonarch.entry.body;

import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * The content of one task.
 *
 * @param service the requested service
 * @param kind the kind of the task
 * @param input the JSON text of the input
 */
public record TaskContent(ServiceName service, KindName kind, byte[] input) {}
