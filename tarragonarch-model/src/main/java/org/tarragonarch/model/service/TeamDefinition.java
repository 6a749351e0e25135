package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.TeamName;

/**
 * A team, which shares the system with other teams.
 *
 * @param name the team's name
 * @param weight the weight of the team among the teams that wait for the same service
 * @param maxRunningTasks the maximum number of tasks that one failure domain runs for the team at once
 */
public record TeamDefinition(TeamName name, int weight, int maxRunningTasks) {
    /** Checks that the weight and the limit are at least 1. */
    public TeamDefinition {
        checkNotNull(name, "name");
        checkArgument(weight >= 1, "weight %s of team %s is below 1", weight, name);
        checkArgument(maxRunningTasks >= 1, "max-running-tasks %s of team %s is below 1", maxRunningTasks, name);
    }
}
