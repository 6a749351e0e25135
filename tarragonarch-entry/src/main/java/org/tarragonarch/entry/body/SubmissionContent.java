package org.tarragonarch.entry.body;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * The content of a submission.
 *
 * @param service the requested service
 * @param kind the kind of its tasks
 * @param inputs the JSON text of each task's input
 */
public record SubmissionContent(ServiceName service, KindName kind, ImmutableList<byte[]> inputs) {}
