package org.tarragonarch.benchmark.experiment;

/**
 * One job and what became of it.
 *
 * @param job the job
 * @param result what became of it
 * @param worth what it counts if answered in time
 */
record ScoredJob(DrawnJob job, JobResult result, double worth) {
    double earned() {
        return worth * result.credit();
    }
}
