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
 * The lane of each service that ever had work on this node.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceLanes {
    private final Map<ServiceName, ServiceLane> lanes = new HashMap<>();

    private ServiceLanes() {}

    /** Returns lanes without work. */
    public static ServiceLanes create() {
        return new ServiceLanes();
    }

    /** Returns the lane of a service. */
    public ServiceLane of(ServiceName service) {
        return lanes.computeIfAbsent(service, ServiceLane::new);
    }

    /** Returns the services that have a lane. */
    Set<ServiceName> services() {
        return lanes.keySet();
    }

    /** Returns a line for each team that waits or runs at a service. */
    public ImmutableList<QueueStatus> status(ImmutableSet<TeamDefinition> teams) {
        return lanes.values().stream()
                .flatMap(lane -> teams.stream().map(team -> lane.status(team.name())))
                .filter(line -> line.queuedTasks() + line.runningTasks() > 0)
                .collect(ImmutableList.toImmutableList());
    }
}
