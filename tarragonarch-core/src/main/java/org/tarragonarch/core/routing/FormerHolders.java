package org.tarragonarch.core.routing;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/**
 * Which holder had a job as it was withdrawn or given up here, and may still be stopping its runs.
 *
 * <p>Bounded in number: a node that gives up 1,000 jobs a second still knows those of the last second.
 */
final class FormerHolders {
    private static final int MAX_JOBS = 1_024;

    private final Timers timers;
    private final Map<JobId, FormerHolder> holders = BoundedMaps.evictingEldest(MAX_JOBS);

    FormerHolders(Timers timers) {
        this.timers = timers;
    }

    /** Records that a job is not open any more, if a holder has it. */
    void recordClosed(OpenJob job) {
        holders.remove(job.id());
        job.holder().ifPresent(holder -> holders.put(job.id(), new FormerHolder(holder.node(), timers.nowMillis())));
    }

    /** Returns who had the job that is sent again now. */
    Optional<FormerHolder> remove(JobId job) {
        return Optional.ofNullable(holders.remove(job));
    }

    /**
     * A job's last holder.
     *
     * @param closedAtMillis when the job was withdrawn from it or given up
     */
    record FormerHolder(NodeId node, long closedAtMillis) {}
}
