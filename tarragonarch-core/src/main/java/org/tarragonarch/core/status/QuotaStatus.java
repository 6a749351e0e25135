package org.tarragonarch.core.status;

import org.tarragonarch.model.id.TeamName;

/**
 * One team's use of its quota on a node.
 *
 * @param team the team
 * @param running the number of the team's tasks started by this node that are running
 * @param share the number of tasks that this node may have running at once
 * @param quota the number of tasks that the failure domain may have running at once
 */
public record QuotaStatus(TeamName team, int running, int share, int quota) {}
