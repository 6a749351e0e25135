package org.tarragonarch.core.status;

import org.tarragonarch.model.id.TeamName;

/**
 * One team's use of its quota on a node.
 *
 * @param team the team
 * @param running tasks of the team that run from this node
 * @param share how many may run from this node at once
 * @param quota how many may run in the failure domain at once
 */
public record QuotaStatus(TeamName team, int running, int share, int quota) {}
