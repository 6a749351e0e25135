package org.tarragonarch.core.routing;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/**
 * The holders that had a job when this node withdrew it or gave it up, and that may still be stopping its runs.
 *
 * <p>The number of jobs is bounded: a node that gives up 1,000 jobs per second remembers those of the last second.
 */
final class FormerHolders {
    private static final int MAX_JOBS = 1_024;

    private final Timers timers;
    private final Map<JobId, FormerHolder> holders = BoundedMaps.evictingEldest(MAX_JOBS);

    FormerHolders(Timers timers) {
        this.timers = timers;
    }

    /** Records the holder of a job that is no longer open, if it has one. */
    void recordClosed(OpenJob job) {
        holders.remove(job.id());
        job.holder().ifPresent(holder -> holders.put(job.id(), new FormerHolder(holder.node(), timers.nowMillis())));
    }

    /** Removes and returns the former holder of a job that its client submits again. */
    Optional<FormerHolder> remove(JobId job) {
        return Optional.ofNullable(holders.remove(job));
    }

    /**
     * The last holder of a job.
     *
     * @param closedAtMillis when the job was withdrawn from the holder or given up, on the steady clock
     */
    record FormerHolder(NodeId node, long closedAtMillis) {}
}
