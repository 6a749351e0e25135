package org.tarragonarch.benchmark.experiment;

import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;

/** A job as its caller sends it, with the actual run times of its tasks, which nodes do not know. */
final class DrawnJob {
    private static final int MEMORY_MB = 64;

    private final JobKind kind;
    private final int domain;
    private final int client;
    private final long sentAtMillis;
    private final double stretch;
    private final double[] runMillis;
    private final JobRequest request;

    DrawnJob(
            long number,
            JobKind kind,
            int domain,
            int client,
            long sentAtMillis,
            double stretch,
            long milliCores,
            double[] runMillis,
            long estimateMillis) {
        this.kind = kind;
        this.domain = domain;
        this.client = client;
        this.sentAtMillis = sentAtMillis;
        this.stretch = stretch;
        this.runMillis = runMillis;
        TaskStep step = new TaskStep(runMillis.length, new Resources(milliCores, MEMORY_MB, 0), estimateMillis);
        this.request = new JobRequest(new JobId(String.format("%016x", number)), "s", step);
    }

    JobKind kind() {
        return kind;
    }

    int domain() {
        return domain;
    }

    int client() {
        return client;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    JobRequest request() {
        return request;
    }

    double runMillis(int task) {
        return runMillis[task];
    }

    int width() {
        return runMillis.length;
    }

    /** Returns the limit of the response time of an answer in time, in milliseconds. */
    double aimMillis() {
        double longest = 0;
        for (double run : runMillis) {
            longest = Math.max(longest, run);
        }
        return stretch * longest + kind.objectiveMillis();
    }

    long deadlineMillis() {
        return Math.round(aimMillis()) + kind.deadlineMillis();
    }

    /** Returns the processor time of all tasks at speed 1, in microseconds of one core. */
    double work() {
        double sum = 0;
        for (double run : runMillis) {
            sum += run;
        }
        return sum * request.step().perTask().milliCores();
    }
}
