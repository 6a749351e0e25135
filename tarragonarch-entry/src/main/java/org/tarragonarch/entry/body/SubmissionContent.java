package org.tarragonarch.entry.body;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * What a submission asks for.
 *
 * @param service the service called
 * @param kind the kind asked for
 * @param inputs the JSON text of each task's input
 */
public record SubmissionContent(ServiceName service, KindName kind, ImmutableList<byte[]> inputs) {}
