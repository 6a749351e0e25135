package org.tarragonarch.core.share;

/**
 * How long a job waits within its share, and how the share stands.
 *
 * @param places how many tasks of the job's size the share may have under way; 0 if its ceiling is below one task
 * @param millis how long until its last task starts, in milliseconds
 * @param fitsBelowCeiling whether the share may start the job and all that waits in it without passing its ceiling
 * @param state how the share stands
 */
public record ShareWait(long places, long millis, boolean fitsBelowCeiling, ShareState state) {}
