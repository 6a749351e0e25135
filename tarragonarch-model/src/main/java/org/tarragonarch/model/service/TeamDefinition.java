package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.TeamName;

/**
 * A team that shares the system with others.
 *
 * @param name the team's name
 * @param weight the team's part of a contended service, against the weights of the other teams that wait
 * @param maxRunningTasks the most tasks that one failure domain runs for the team at once
 */
public record TeamDefinition(TeamName name, int weight, int maxRunningTasks) {
    /** Checks the ranges. */
    public TeamDefinition {
        checkNotNull(name, "name");
        checkArgument(weight >= 1, "weight %s of team %s is below 1", weight, name);
        checkArgument(maxRunningTasks >= 1, "max-running-tasks %s of team %s is below 1", maxRunningTasks, name);
    }
}
