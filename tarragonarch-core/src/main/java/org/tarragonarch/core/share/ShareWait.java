package org.tarragonarch.core.share;

/**
 * The expected wait of a job within its share.
 *
 * @param taskSlots how many tasks of the job's size the share may run at a time; 0 if its ceiling is below one
 * @param millis the expected time until its last task starts, in milliseconds
 * @param fitsBelowCeiling whether the share can start the job and the tasks ahead of it without exceeding its ceiling
 * @param state the state of the share
 */
public record ShareWait(long taskSlots, long millis, boolean fitsBelowCeiling, ShareState state) {}
