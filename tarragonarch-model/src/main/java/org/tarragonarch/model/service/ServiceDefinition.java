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
 * A service as its operators define it: what it accepts, who may call it and how much it may use.
 *
 * @param name the service's name
 * @param favours the measure favoured where the two pull apart
 * @param kinds the kinds of request it accepts, by name
 * @param callers who may call it
 * @param maxRunningTasks the most tasks that one failure domain runs for it at once
 * @param maxQueuedTasks the most tasks that one node keeps waiting for it
 */
public record ServiceDefinition(
        ServiceName name,
        ServiceObjective favours,
        ImmutableMap<KindName, KindDefinition> kinds,
        ImmutableSet<CallerName> callers,
        int maxRunningTasks,
        int maxQueuedTasks) {
    /** Checks the ranges. */
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
