package org.tarragonarch.entry.caller;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.event.TaskShape;

/**
 * The content of a caller's message: the inputs, which are not passed to the core, and their shapes, which are.
 *
 * @param inputs the JSON text of each task's input, with the caller's bytes unchanged
 * @param shapes the shape of each task
 */
record SubmissionBody(ImmutableList<byte[]> inputs, ImmutableList<TaskShape> shapes) {}
