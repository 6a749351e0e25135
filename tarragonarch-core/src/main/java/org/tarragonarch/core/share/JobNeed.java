package org.tarragonarch.core.share;

/**
 * What a job that asks for admission needs.
 *
 * @param tasks how many tasks it has
 * @param milliCoresPerTask the processor time of each, in thousandths of a core, at least 1
 * @param runMillis how long each should run
 */
public record JobNeed(long tasks, long milliCoresPerTask, long runMillis) {}
