package org.tarragonarch.benchmark.experiment;

import org.tarragonarch.model.task.QueueDefinition;

/**
 * One kind of job in a load.
 *
 * @param name names the queue that such jobs enter
 * @param part the part of all jobs that are of this kind
 * @param priority 0 comes first
 * @param width how many tasks a job has
 * @param milliCores what each task takes
 * @param runMillis how long a task runs on an endpoint of ordinary speed
 * @param uneven how much the tasks of one job differ in their run times, as a part of the mean
 * @param estimateError how far the declared run time is off, as the spread of its logarithm
 * @param objectiveMillis what an answer in time may take beyond the stretched run time of the longest task
 * @param deadlineMillis how long callers wait beyond that
 * @param worth what a served job of mean size counts; only for the report, which no node knows
 */
public record JobKind(
        String name,
        double part,
        int priority,
        Spread width,
        Spread milliCores,
        Spread runMillis,
        double uneven,
        double estimateError,
        long objectiveMillis,
        long deadlineMillis,
        double worth) {
    /** The one service of a modelled cluster. */
    static final String SERVICE = "s";

    private static final int ATTEMPTS = 3;

    QueueDefinition queue(double stretch) {
        return new QueueDefinition(name, "h", "/" + name + "/", SERVICE, priority, ATTEMPTS, stretch, objectiveMillis);
    }
}
