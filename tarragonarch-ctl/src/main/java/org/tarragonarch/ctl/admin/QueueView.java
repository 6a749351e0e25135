package org.tarragonarch.ctl.admin;

/**
 * The tasks of a team at a service on a node.
 *
 * @param service the service
 * @param team the team
 * @param queuedTasks the number of tasks that wait for a slot
 * @param runningTasks the number of tasks that were sent and have not ended
 */
public record QueueView(String service, String team, long queuedTasks, long runningTasks) {}
