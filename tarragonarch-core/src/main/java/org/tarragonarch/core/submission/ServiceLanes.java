package org.tarragonarch.core.submission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.service.TeamDefinition;

/**
 * The lanes of the services that this node has received work for.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceLanes {
    private final Map<ServiceName, ServiceLane> lanes = new HashMap<>();

    private ServiceLanes() {}

    /** Returns an instance without lanes. */
    public static ServiceLanes create() {
        return new ServiceLanes();
    }

    /** Returns the lane of a service, creating it if necessary. */
    public ServiceLane of(ServiceName service) {
        return lanes.computeIfAbsent(service, ServiceLane::new);
    }

    /** Returns the services that have a lane. */
    Set<ServiceName> services() {
        return lanes.keySet();
    }

    /** Returns one status for each service and team with queued or running tasks. */
    public ImmutableList<QueueStatus> status(ImmutableSet<TeamDefinition> teams) {
        return lanes.values().stream()
                .flatMap(lane -> teams.stream().map(team -> lane.status(team.name())))
                .filter(status -> status.queuedTasks() + status.runningTasks() > 0)
                .collect(ImmutableList.toImmutableList());
    }
}
