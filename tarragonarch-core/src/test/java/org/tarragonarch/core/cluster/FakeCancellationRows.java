package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.task.JobId;

/** The cancellations in the store, which answers each call after some milliseconds. */
final class FakeCancellationRows {
    static final long CALL_MILLIS = 12;

    private final VirtualTimers timers;
    private final Set<JobId> jobs = new LinkedHashSet<>();

    FakeCancellationRows(VirtualTimers timers) {
        this.timers = timers;
    }

    /** Stores a job, also if the node that sends it is lost meanwhile. */
    void add(JobId job) {
        timers.schedule(CALL_MILLIS / 2, () -> jobs.add(job));
    }

    ImmutableSet<JobId> all() {
        return ImmutableSet.copyOf(jobs);
    }
}
