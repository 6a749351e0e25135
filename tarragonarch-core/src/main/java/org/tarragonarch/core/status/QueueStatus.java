package org.tarragonarch.core.status;

import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;

/**
 * The waiting and running work of one team at one service on a node.
 *
 * @param service the service
 * @param team the team
 * @param queuedTasks the number of tasks waiting for a slot
 * @param runningTasks the number of tasks that were sent and have not ended
 */
public record QueueStatus(ServiceName service, TeamName team, int queuedTasks, int runningTasks) {}
