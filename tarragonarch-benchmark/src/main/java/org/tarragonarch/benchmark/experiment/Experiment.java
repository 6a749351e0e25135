package org.tarragonarch.benchmark.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.TaskName;

/** One run of a load with one seed. */
public final class Experiment {
    /** Nodes find each other and claim before the first job. */
    private static final long LEAD_MILLIS = 2_000;

    /** The last jobs are answered after the last was sent. */
    private static final long TAIL_MILLIS = 6_000;

    /** How soon a client that reached no node tries again. */
    private static final long RECONNECT_MILLIS = 100;

    /** A job counts its fixed part and a part by its work, and no more than some times the mean; the users' rule. */
    private static final double FIXED_WORTH = 0.3;

    private static final double MOST_WORTH = 4;

    private final LoadShape shape;
    private final long seed;
    private final VirtualTime time = new VirtualTime();
    private final Map<String, DrawnJob> jobs = new HashMap<>();
    private final Map<DrawnJob, JobResult> results = new HashMap<>();
    private final Cluster cluster;

    private Experiment(LoadShape shape, long seed) {
        this.shape = shape;
        this.seed = seed;
        this.cluster = new Cluster(time, shape, new DrawnTaskProfiles());
    }

    /** Plays a load. */
    public static ExperimentResult run(LoadShape shape, long seed) {
        return new Experiment(shape, seed).play();
    }

    private ExperimentResult play() {
        List<DrawnJob> drawn = new JobSource(shape, seed).draw();
        drawn.forEach(job -> jobs.put(job.request().id().value(), job));
        cluster.startAll();
        for (DrawnJob job : drawn) {
            at(job.sentAtMillis(), () -> send(job));
        }
        shape.disturbances().forEach(this::plan);
        time.runUntil(TimeUnit.MILLISECONDS.toNanos(LEAD_MILLIS + shape.lengthMillis() + TAIL_MILLIS));
        return result(drawn);
    }

    private void at(long millis, Runnable happening) {
        time.runAt(TimeUnit.MILLISECONDS.toNanos(LEAD_MILLIS + millis), happening);
    }

    private void send(DrawnJob job) {
        Optional<ModelNode> node = cluster.nodeFor(job.domain(), job.client());
        long waited = sinceSentMillis(job);
        if (node.isEmpty()) {
            if (waited < job.deadlineMillis()) {
                time.runAfter(TimeUnit.MILLISECONDS.toNanos(RECONNECT_MILLIS), () -> send(job));
            }
            return;
        }
        long left = Math.max(1, job.deadlineMillis() - waited);
        node.get()
                .coordinator()
                .router()
                .submit(job.kind().queue(shape.stretch()), job.request(), left, reply -> answered(job, reply));
    }

    private void answered(DrawnJob job, JobReply reply) {
        JobResult fate =
                switch (reply.outcome()) {
                    case DONE -> JobResult.ofResponseTime(sinceSentMillis(job), job.aimMillis());
                    case REFUSED -> JobResult.REFUSED;
                    case FAILED, GIVEN_UP, CANCELLED -> JobResult.FAILED;
                };
        results.put(job, fate);
    }

    private long sinceSentMillis(DrawnJob job) {
        return TimeUnit.NANOSECONDS.toMillis(time.nowNanos()) - LEAD_MILLIS - job.sentAtMillis();
    }

    private void plan(Disturbance disturbance) {
        switch (disturbance.kind()) {
            case BURST, DOMAIN_BURST, DOMAINS_SWING, CLIENTS_MOVE -> {
                // Part of how jobs are drawn.
            }
            case POWER_OFF -> at(disturbance.atMillis(), () -> cluster.powerOff(disturbance.forMillis()));
            case HOLDER_KILLED -> at(disturbance.atMillis(), () -> cluster.killHolder(disturbance.forMillis()));
            case HOLDER_STOPPED -> at(disturbance.atMillis(), () -> cluster.stopHolder(disturbance.forMillis()));
            case HOLDER_FROZEN -> at(disturbance.atMillis(), () -> cluster.pauseHolder(disturbance.forMillis()));
            case NODE_CUT_OFF -> at(disturbance.atMillis(), () -> cluster.cutOffNonHolder(disturbance.forMillis()));
            case ENDPOINTS_HANG -> during(disturbance, ModelEndpoint::setHanging);
            case ENDPOINTS_FAIL -> during(disturbance, ModelEndpoint::setFailing);
            case ENDPOINTS_SLOW ->
                during(disturbance, (endpoint, begins) -> endpoint.multiplySpeed(begins ? 1 / 6.0 : 6));
            default -> throw new AssertionError(disturbance.kind());
        }
    }

    private void during(Disturbance disturbance, Change change) {
        List<ModelEndpoint> endpoints = cluster.endpoints();
        int count = (int) Math.ceil(disturbance.factor() * endpoints.size());
        int step = Math.max(1, endpoints.size() / count);
        for (int i = 0; i < count; i++) {
            ModelEndpoint endpoint = endpoints.get(i * step);
            at(disturbance.atMillis(), () -> change.apply(endpoint, true));
            at(disturbance.atMillis() + disturbance.forMillis(), () -> change.apply(endpoint, false));
        }
    }

    private ExperimentResult result(List<DrawnJob> drawn) {
        Map<JobKind, Double> meanWork = new HashMap<>();
        for (JobKind kind : shape.kinds()) {
            meanWork.put(
                    kind,
                    drawn.stream()
                            .filter(job -> job.kind().equals(kind))
                            .mapToDouble(DrawnJob::work)
                            .average()
                            .orElse(1));
        }
        List<ScoredJob> experiences = new ArrayList<>();
        for (DrawnJob job : drawn) {
            double size = job.work() / meanWork.get(job.kind());
            double worth = job.kind().worth() * Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size);
            experiences.add(new ScoredJob(job, results.getOrDefault(job, JobResult.LOST), worth));
        }
        double milliCores = cluster.endpoints().stream()
                .mapToDouble(endpoint -> endpoint.entry().capacity().milliCores())
                .sum();
        double speed = shape.speeds().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
        int overfilled = cluster.endpoints().stream()
                .mapToInt(ModelEndpoint::overcommitCount)
                .sum();
        double bound = new FluidBound(shape, milliCores * speed).earnableShare(experiences);
        return new ExperimentResult(experiences, bound, overfilled, cluster.moveCount());
    }

    /** Something that begins or ends at one endpoint. */
    @FunctionalInterface
    private interface Change {
        void apply(ModelEndpoint endpoint, boolean begins);
    }

    /** Sets for endpoints how long the tasks of this run's jobs take. */
    private final class DrawnTaskProfiles implements ModelEndpoint.TaskProfiles {
        @Override
        public double runMillis(TaskName task) {
            String[] parts = task.text().split("\\.");
            return jobs.get(parts[0]).runMillis(Integer.parseInt(parts[parts.length - 1]));
        }

        @Override
        public long milliCores(TaskName task) {
            return jobs.get(task.text().split("\\.")[0])
                    .request()
                    .step()
                    .perTask()
                    .milliCores();
        }
    }
}
