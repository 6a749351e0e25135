package org.tarragonarch.benchmark.experiment;

/** What became of a job, as its caller sees it. */
public enum JobResult {
    /** Answered whole within its aim. */
    IN_TIME(1),
    /** Answered whole within three times its aim. */
    LATE(0.2),
    /** Answered whole, too late to count. */
    TOO_LATE(0),
    /** Answered that nothing of it ran. */
    REFUSED(0),
    /** Answered that it failed, or may have run. */
    FAILED(0),
    /** No answer: no node could be reached, or the one that had it was lost. */
    LOST(0);

    private static final int LATE_MULTIPLE = 3;

    private final double credit;

    JobResult(double credit) {
        this.credit = credit;
    }

    /** Returns the part of a job's worth that it earns. */
    double credit() {
        return credit;
    }

    static JobResult ofResponseTime(double millis, double aimMillis) {
        if (millis <= aimMillis) {
            return IN_TIME;
        }
        return millis <= LATE_MULTIPLE * aimMillis ? LATE : TOO_LATE;
    }
}
