package org.tarragonarch.entry.cluster;

import com.google.common.base.Ascii;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobProgress;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.QueueLookup;
import org.tarragonarch.model.task.Timers;

/** The service behind the servers for clients and for the balancer's readiness checks. */
final class NodeJobs implements JobService {
    /** The longest logged part of a path or host, in characters, as clients may send any length. */
    private static final int LOGGED_LENGTH = 128;

    private final ConfigurationInForce configuration;
    private final JobRouter router;
    private final JobCancellations cancellations;
    private final Timers timers;
    private final DecisionLog log;
    private final NodeMeters meters;
    private final BooleanSupplier ready;
    private final BooleanSupplier leaving;

    NodeJobs(
            ConfigurationInForce configuration,
            JobRouter router,
            JobCancellations cancellations,
            Timers timers,
            DecisionLog log,
            NodeMeters meters,
            BooleanSupplier ready,
            BooleanSupplier leaving) {
        this.configuration = configuration;
        this.router = router;
        this.cancellations = cancellations;
        this.timers = timers;
        this.log = log;
        this.meters = meters;
        this.ready = ready;
        this.leaving = leaving;
    }

    @Override
    public QueueLookup find(String host, String path) {
        QueueLookup lookup = configuration.find(host, path);
        if (lookup.queue().isEmpty()) {
            meters.queueNotFound(lookup.result());
            log.write(
                    NodeEvent.QUEUE_UNKNOWN,
                    "result",
                    lookup.result(),
                    "job",
                    logged(path.substring(path.lastIndexOf('/') + 1)),
                    "host",
                    logged(host),
                    "path",
                    logged(path),
                    "configuration",
                    configuration.version(),
                    "configuration-age-ms",
                    configuration.loggedAge(),
                    "source",
                    configuration.source());
        }
        return lookup;
    }

    private static String logged(String text) {
        return Ascii.truncate(text, LOGGED_LENGTH, "...");
    }

    @Override
    public Submission submit(QueueDefinition queue, JobRequest job, long deadlineMillis, Consumer<JobReply> reply) {
        long arrived = timers.nowMillis();
        return router.submit(queue, job, deadlineMillis, answer -> {
            long tookMillis = timers.nowMillis() - arrived;
            meters.jobAnswered(answer.outcome(), tookMillis);
            log.write(
                    NodeEvent.JOB_ANSWERED,
                    "job",
                    job.id(),
                    "queue",
                    queue.name(),
                    "outcome",
                    answer.outcome(),
                    "tasks",
                    job.step().count(),
                    "estimate-ms",
                    job.step().estimateMillis(),
                    "after-ms",
                    tookMillis,
                    "holder",
                    answer.holder().map(NodeId::value).orElse("none"),
                    "deadline-ms",
                    deadlineMillis,
                    "configuration",
                    configuration.version(),
                    "configuration-age-ms",
                    configuration.loggedAge());
            reply.accept(answer);
        });
    }

    @Override
    public void submissionDropped(JobId job) {
        log.write(NodeEvent.SUBMISSION_DROPPED, "job", job);
    }

    @Override
    public void cancel(JobId job, Consumer<Boolean> known) {
        cancellations.cancel(job, known);
    }

    @Override
    public Optional<JobProgress> progress(JobId job) {
        return router.progress(job);
    }

    @Override
    public long waitingJobs(QueueDefinition queue) {
        return router.waitingJobs(queue.name());
    }

    @Override
    public boolean isReady() {
        return ready.getAsBoolean();
    }

    @Override
    public boolean isLeaving() {
        return leaving.getAsBoolean();
    }
}
