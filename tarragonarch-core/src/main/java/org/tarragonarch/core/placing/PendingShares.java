package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.share.ShareId;

/** The jobs that have tasks to start, one queue for each share. */
final class PendingShares {
    private final Map<ShareId, PendingJobs> byShare = new LinkedHashMap<>();

    void add(PlacedJob job) {
        jobsOf(job.share()).add(job);
    }

    void remove(PlacedJob job) {
        jobsOf(job.share()).remove(job);
    }

    /** Returns the pending jobs of a share. */
    PendingJobs jobsOf(ShareId share) {
        return byShare.computeIfAbsent(share, unused -> new PendingJobs());
    }

    /** Returns every share that has ever had a job, with its pending jobs. */
    Collection<Map.Entry<ShareId, PendingJobs>> shares() {
        return byShare.entrySet();
    }

    /** Returns a snapshot of all jobs, by share and urgency; jobs may be removed during its iteration. */
    ImmutableList<PlacedJob> inOrder() {
        ImmutableList.Builder<PlacedJob> jobs = ImmutableList.builder();
        byShare.values().forEach(each -> jobs.addAll(each.inOrder()));
        return jobs.build();
    }

    /** Returns the number of waiting tasks of all shares. */
    long waitingTasks() {
        long waiting = 0;
        for (PendingJobs each : byShare.values()) {
            waiting += each.waitingTasks();
        }
        return waiting;
    }
}
