package org.tarragonarch.ctl.admin;

/**
 * The quota use of a team on a node.
 *
 * @param team the team
 * @param running the number of tasks that the node runs for the team
 * @param share the number of tasks that the node may run at once
 * @param quota the number of tasks that may run in the failure domain at once
 */
public record QuotaView(String team, long running, long share, long quota) {}
