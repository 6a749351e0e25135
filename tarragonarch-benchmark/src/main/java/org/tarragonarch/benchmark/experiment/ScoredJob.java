package org.tarragonarch.benchmark.experiment;

/**
 * A job with its result and worth.
 *
 * @param job the job
 * @param result the result for its caller
 * @param worth the worth earned by an answer in time
 */
record ScoredJob(DrawnJob job, JobResult result, double worth) {
    double earned() {
        return worth * result.credit();
    }
}
