package org.tarragonarch.entry.caller;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.event.TaskShape;

/**
 * What a caller's message holds: the inputs, which stay in the shell, and their shapes, which the core sees.
 *
 * @param inputs the JSON text of each task's input, byte for byte as the caller wrote it
 * @param shapes the shape of each task
 */
record SubmissionBody(ImmutableList<byte[]> inputs, ImmutableList<TaskShape> shapes) {}
