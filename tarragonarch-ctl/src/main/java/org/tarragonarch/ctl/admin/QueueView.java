package org.tarragonarch.ctl.admin;

/**
 * The work of one team at one service on a node.
 *
 * @param service the service
 * @param team the team
 * @param queuedTasks tasks that wait for a slot
 * @param runningTasks tasks that were sent and have not ended
 */
public record QueueView(String service, String team, long queuedTasks, long runningTasks) {}
