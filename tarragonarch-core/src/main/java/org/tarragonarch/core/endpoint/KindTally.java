package org.tarragonarch.core.endpoint;

/** An exponentially weighted count of the tasks of a kind and of those that failed. */
final class KindTally {
    private double tasks;
    private double failures;

    void add(boolean failed) {
        double retained = 1 - 1 / HealthPolicy.TALLY_WINDOW_TASKS;
        tasks = tasks * retained + 1;
        failures = failures * retained + (failed ? 1 : 0);
    }

    /** Returns the failure rate of the tasks counted here but not in {@code part}, a subset of this tally. */
    double failureRateExcluding(KindTally part) {
        double otherTasks = Math.max(0, tasks - part.tasks);
        double otherFailures = Math.min(otherTasks, Math.max(0, failures - part.failures));
        double rate = (otherFailures + HealthPolicy.MIN_FAILURE_RATE * HealthPolicy.PRIOR_TASKS)
                / (otherTasks + HealthPolicy.PRIOR_TASKS);
        return Math.max(HealthPolicy.MIN_FAILURE_RATE, rate);
    }
}
