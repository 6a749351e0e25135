package org.tarragonarch.ctl.admin;

/**
 * One team's use of its quota on a node.
 *
 * @param team the team
 * @param running tasks of the team that run from the node
 * @param share how many may run from the node at once
 * @param quota how many may run in the failure domain at once
 */
public record QuotaView(String team, long running, long share, long quota) {}
