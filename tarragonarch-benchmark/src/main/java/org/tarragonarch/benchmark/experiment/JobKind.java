package org.tarragonarch.benchmark.experiment;

import org.tarragonarch.model.task.QueueDefinition;

/**
 * A kind of job.
 *
 * @param name the name of its queue
 * @param part the fraction of jobs of this kind
 * @param priority the priority of its queue; 0 is the highest
 * @param width the number of tasks of a job
 * @param milliCores the capacity that each task takes
 * @param runMillis the run time of a task on an endpoint of speed 1
 * @param uneven the standard deviation of run times within a job, as a fraction of their mean
 * @param estimateError the standard deviation of the logarithm of the declared run time over the mean of the job
 * @param objectiveMillis the time that an answer in time may take beyond the stretched run time of the longest task
 * @param deadlineMillis the time that callers wait beyond that
 * @param worth the worth of a job of mean size, used only to score results and unknown to nodes
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
    /** The only service of the cluster. */
    static final String SERVICE = "s";

    private static final int ATTEMPTS = 3;

    QueueDefinition queue(double stretch) {
        return new QueueDefinition(name, "h", "/" + name + "/", SERVICE, priority, ATTEMPTS, stretch, objectiveMillis);
    }
}
