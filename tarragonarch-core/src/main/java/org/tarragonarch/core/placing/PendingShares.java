package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.share.ShareId;

/** The jobs that have tasks to start, in one queue for each share. */
final class PendingShares {
    private final Map<ShareId, PendingJobs> byShare = new LinkedHashMap<>();

    void add(PlacedJob job) {
        jobsOf(job.share()).add(job);
    }

    void remove(PlacedJob job) {
        jobsOf(job.share()).remove(job);
    }

    /** Returns the jobs of a share. */
    PendingJobs jobsOf(ShareId share) {
        return byShare.computeIfAbsent(share, unused -> new PendingJobs());
    }

    /** Returns every share that has had a job, with its jobs. */
    Collection<Map.Entry<ShareId, PendingJobs>> shares() {
        return byShare.entrySet();
    }

    /** Returns a copy of all jobs, so that jobs may be removed while it is iterated. */
    ImmutableList<PlacedJob> inOrder() {
        ImmutableList.Builder<PlacedJob> jobs = ImmutableList.builder();
        byShare.values().forEach(each -> jobs.addAll(each.inOrder()));
        return jobs.build();
    }

    /** Returns how many tasks of all shares wait. */
    long waitingTasks() {
        long waiting = 0;
        for (PendingJobs each : byShare.values()) {
            waiting += each.waitingTasks();
        }
        return waiting;
    }
}
