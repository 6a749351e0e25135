package org.tarragonarch.core.submission;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import org.tarragonarch.core.queue.JobQueue;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TeamName;

/**
 * The queued tasks of one service and the number of its running tasks by team.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceLane {
    private final ServiceName service;
    private final JobQueue<SubmissionId> queue = JobQueue.create();
    private final Multiset<TeamName> running = HashMultiset.create();

    ServiceLane(ServiceName service) {
        this.service = service;
    }

    /** Returns the queue of the tasks that wait for a slot. */
    public JobQueue<SubmissionId> queue() {
        return queue;
    }

    void taskStarted(TeamName team) {
        running.add(team);
    }

    void taskEnded(TeamName team) {
        running.remove(team);
    }

    QueueStatus status(TeamName team) {
        return new QueueStatus(service, team, queue.queuedTasks(team), running.count(team));
    }
}
