package org.tarragonarch.core.cluster;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/** The cancellations in the store, which answers each call after some milliseconds. */
final class FakeCancellationRows {
    static final long CALL_MILLIS = 12;

    private final VirtualTimers timers;
    private final Map<JobId, NodeId> rows = new LinkedHashMap<>();

    FakeCancellationRows(VirtualTimers timers) {
        this.timers = timers;
    }

    /** Stores a job in the row of a node, also if the node is lost meanwhile. */
    void add(NodeId node, JobId job) {
        timers.schedule(CALL_MILLIS / 2, () -> rows.put(job, node));
    }

    /** Passes on all jobs, those in the node's own row as those of its clients. */
    void read(NodeId node, BiConsumer<JobId, CancelSource> recovered) {
        rows.forEach(
                (job, by) -> recovered.accept(job, by.equals(node) ? CancelSource.CLIENT : CancelSource.REPETITION));
    }
}
