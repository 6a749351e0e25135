package org.tarragonarch.benchmark.decision;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.endpoint.Endpoint;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.queue.JobQueue;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.service.ServiceObjective;

/** A node's directory and queue, whose sizes stay constant while tasks are placed. */
final class Decisions {
    private static final ServiceName SERVICE = ServiceName.of("proof-board");
    private static final KindName KIND = KindName.of("spelling");
    private static final int SLOTS = 8;
    private static final int TEAMS = 380;
    private static final int TASKS_PER_JOB = 10;
    private static final long SECOND = 1_000_000_000L;

    private final Random random = new Random(7);
    private final NodeId self = NodeId.of("node-1");
    private final TaskId task = new TaskId(new SubmissionId(self, Incarnation.of(1), 1), 0);
    final EndpointDirectory directory = EndpointDirectory.create(self, FailureDomain.of("hobart"), random);
    final JobQueue<Long> queue = JobQueue.create();
    private final Endpoint[] running;
    private int oldest;
    private long jobs;
    private long nowNanos;

    /**
     * Creates a directory of endpoints in one failure domain, with half of their slots in use, and a queue with jobs of
     * many teams.
     */
    Decisions(int workers, int queuedJobs) {
        addWorkers(workers);
        running = new Endpoint[workers * SLOTS / 2];
        for (int i = 0; i < running.length; i++) {
            running[i] = reserve().orElseThrow();
        }
        for (int i = 0; i < queuedJobs; i++) {
            addJob();
        }
    }

    /** Ends the oldest task, places the next one from the queue, and refills the queue. */
    Optional<Endpoint> place() {
        nowNanos += SECOND / 10_000;
        TaskEnded ended = new TaskEnded(task, 1, running[oldest].id(), SendResult.SUCCEEDED, false, "");
        directory.taskEnded(ended, SERVICE, KIND, SECOND / 5, nowNanos, Decisions::ignore);
        Long job = queue.next(team -> true).orElseThrow();
        queue.taskStarted(job);
        if (queue.queuedTasks() % TASKS_PER_JOB == 0) {
            addJob();
        }
        Optional<Endpoint> endpoint = reserve();
        running[oldest] = endpoint.orElseThrow();
        oldest = (oldest + 1) % running.length;
        return endpoint;
    }

    private Optional<Endpoint> reserve() {
        return directory.reserve(SERVICE, ServiceObjective.RESPONSE_TIME, ImmutableSet.of(), nowNanos);
    }

    private void addJob() {
        TeamName team = TeamName.of("team-" + random.nextInt(TEAMS));
        queue.add(jobs++, team, 1, TASKS_PER_JOB, (long) (SECOND * random.nextDouble()));
    }

    private void addWorkers(int workers) {
        ImmutableList.Builder<VmRecord> lines = ImmutableList.builder();
        for (int i = 0; i < workers; i++) {
            lines.add(new VmRecord(
                    "worker-" + i,
                    VmRole.ENDPOINT,
                    FailureDomain.of("hobart"),
                    new Address("127.0.0.1", 1000 + i),
                    VmState.LIVE,
                    ImmutableSet.of(SERVICE),
                    SLOTS));
        }
        directory.vmListRead(lines.build(), nowNanos, Decisions::ignore);
    }

    private static void ignore(Action action) {}
}
