package org.tarragonarch.benchmark.experiment;

/**
 * One job and what became of it.
 *
 * @param job the job
 * @param fate what became of it
 * @param worth what it counts if answered in time
 */
record Experience(DrawnJob job, JobResult fate, double worth) {
    double earned() {
        return worth * fate.credit();
    }
}
