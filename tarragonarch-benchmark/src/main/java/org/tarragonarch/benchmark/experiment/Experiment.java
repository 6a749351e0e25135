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

/** A simulation of one load shape with one seed. */
public final class Experiment {
    /** The time before the first job, in which nodes discover each other and claim shards. */
    private static final long LEAD_MILLIS = 2_000;

    /** The time after the last job was sent, in which the last answers arrive. */
    private static final long TAIL_MILLIS = 6_000;

    /** The delay before a client that reached no node tries again. */
    private static final long RECONNECT_MILLIS = 100;

    /** The fixed fraction of a job's worth; the rest is proportional to its work. The users defined this rule. */
    private static final double FIXED_FRACTION = 0.3;

    /** The limit of the worth of one job, as a multiple of the worth of a job of mean size. */
    private static final double MAX_WORTH = 4;

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

    /** Runs a simulation; the same shape and seed give the same result. */
    public static ExperimentResult run(LoadShape shape, long seed) {
        return new Experiment(shape, seed).run();
    }

    private ExperimentResult run() {
        List<DrawnJob> drawn = new JobSource(shape, seed).draw();
        drawn.forEach(job -> jobs.put(job.request().id().value(), job));
        cluster.startAll();
        for (DrawnJob job : drawn) {
            at(job.sentAtMillis(), () -> send(job));
        }
        shape.disturbances().forEach(this::schedule);
        time.runUntil(TimeUnit.MILLISECONDS.toNanos(LEAD_MILLIS + shape.lengthMillis() + TAIL_MILLIS));
        return result(drawn);
    }

    private void at(long millis, Runnable event) {
        time.runAt(TimeUnit.MILLISECONDS.toNanos(LEAD_MILLIS + millis), event);
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
        JobResult result =
                switch (reply.outcome()) {
                    case DONE -> JobResult.ofResponseTime(sinceSentMillis(job), job.aimMillis());
                    case REFUSED -> JobResult.REFUSED;
                    case FAILED, GIVEN_UP, CANCELLED -> JobResult.FAILED;
                };
        results.put(job, result);
    }

    private long sinceSentMillis(DrawnJob job) {
        return TimeUnit.NANOSECONDS.toMillis(time.nowNanos()) - LEAD_MILLIS - job.sentAtMillis();
    }

    private void schedule(Disturbance disturbance) {
        switch (disturbance.kind()) {
            case BURST, DOMAIN_BURST, DOMAINS_SWING, CLIENTS_MOVE -> {
                // JobSource and DomainDemand take these into account when jobs are drawn.
            }
            case POWER_OFF -> at(disturbance.atMillis(), () -> cluster.powerOff(disturbance.forMillis()));
            case HOLDER_KILLED -> at(disturbance.atMillis(), () -> cluster.killHolder(disturbance.forMillis()));
            case HOLDER_STOPPED -> at(disturbance.atMillis(), () -> cluster.stopHolder(disturbance.forMillis()));
            case HOLDER_FROZEN -> at(disturbance.atMillis(), () -> cluster.pauseHolder(disturbance.forMillis()));
            case NODE_CUT_OFF -> at(disturbance.atMillis(), () -> cluster.cutOffNonHolder(disturbance.forMillis()));
            case ENDPOINTS_HANG -> scheduleChange(disturbance, ModelEndpoint::setHanging);
            case ENDPOINTS_FAIL -> scheduleChange(disturbance, ModelEndpoint::setFailing);
            case ENDPOINTS_SLOW ->
                scheduleChange(disturbance, (endpoint, begins) -> endpoint.multiplySpeed(begins ? 1 / 6.0 : 6));
            default -> throw new AssertionError(disturbance.kind());
        }
    }

    private void scheduleChange(Disturbance disturbance, Change change) {
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
        List<ScoredJob> scoredJobs = new ArrayList<>();
        for (DrawnJob job : drawn) {
            double size = job.work() / meanWork.get(job.kind());
            double worth = job.kind().worth() * Math.min(MAX_WORTH, FIXED_FRACTION + (1 - FIXED_FRACTION) * size);
            scoredJobs.add(new ScoredJob(job, results.getOrDefault(job, JobResult.LOST), worth));
        }
        double milliCores = cluster.endpoints().stream()
                .mapToDouble(endpoint -> endpoint.entry().capacity().milliCores())
                .sum();
        double speed = shape.speeds().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
        int overcommitCount = cluster.endpoints().stream()
                .mapToInt(ModelEndpoint::overcommitCount)
                .sum();
        double bound = new FluidBound(shape, milliCores * speed).earnableShare(scoredJobs);
        return new ExperimentResult(scoredJobs, bound, overcommitCount, cluster.moveCount());
    }

    /** A change of one endpoint when a disturbance begins or ends. */
    @FunctionalInterface
    private interface Change {
        void apply(ModelEndpoint endpoint, boolean begins);
    }

    /** The actual run times and capacity needs of the drawn jobs. */
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
