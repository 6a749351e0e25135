package org.tarragonarch.core.share;

/**
 * The capacity that a job needs for its admission.
 *
 * @param tasks the number of its tasks
 * @param milliCoresPerTask the processor time of each, in thousandths of a core, at least 1
 * @param runMillis the expected run time of each, in milliseconds
 */
public record JobNeed(long tasks, long milliCoresPerTask, long runMillis) {}
