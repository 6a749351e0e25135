package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * A service as defined by its operators: the requests it accepts, its callers and its limits.
 *
 * @param name the service's name
 * @param favours the objective favoured where response time and the number of messages conflict
 * @param kinds the kinds of request that the service accepts, by name
 * @param callers the callers that may use the service
 * @param maxRunningTasks the maximum number of tasks that one failure domain runs for the service at once
 * @param maxQueuedTasks the maximum number of tasks of the service that wait at one node
 */
public record ServiceDefinition(
        ServiceName name,
        ServiceObjective favours,
        ImmutableMap<KindName, KindDefinition> kinds,
        ImmutableSet<CallerName> callers,
        int maxRunningTasks,
        int maxQueuedTasks) {
    /** Checks that the limits are in range. */
    public ServiceDefinition {
        checkNotNull(name, "name");
        checkNotNull(favours, "favours");
        checkNotNull(kinds, "kinds");
        checkNotNull(callers, "callers");
        checkArgument(maxRunningTasks >= 1, "max-running-tasks %s of %s is below 1", maxRunningTasks, name);
        checkArgument(maxQueuedTasks >= 0, "max-queued-tasks %s of %s is negative", maxQueuedTasks, name);
    }

    /** Returns the kind with this name, if the service accepts it. */
    public Optional<KindDefinition> kind(KindName kind) {
        return Optional.ofNullable(kinds.get(kind));
    }
}
