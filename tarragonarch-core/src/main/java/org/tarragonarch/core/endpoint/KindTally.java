package org.tarragonarch.core.endpoint;

/** How many of the last tasks of a kind failed, where the weight of old tasks fades. */
final class KindTally {
    private double tasks;
    private double failures;

    void add(boolean failed) {
        double kept = 1 - 1 / HealthPolicy.TALLY_WINDOW_TASKS;
        tasks = tasks * kept + 1;
        failures = failures * kept + (failed ? 1 : 0);
    }

    /** Returns the failure rate of the tasks counted here and not in the other tally, which is a part of this one. */
    double failureRateExcluding(KindTally part) {
        double otherTasks = Math.max(0, tasks - part.tasks);
        double otherFailures = Math.min(otherTasks, Math.max(0, failures - part.failures));
        double rate = (otherFailures + HealthPolicy.MIN_FAILURE_RATE * HealthPolicy.PRIOR_TASKS)
                / (otherTasks + HealthPolicy.PRIOR_TASKS);
        return Math.max(HealthPolicy.MIN_FAILURE_RATE, rate);
    }
}
