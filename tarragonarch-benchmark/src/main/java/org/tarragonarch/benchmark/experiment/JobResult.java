package org.tarragonarch.benchmark.experiment;

/** The result of a job for its caller. */
public enum JobResult {
    /** Answered with every result in time. */
    IN_TIME(1),
    /** Answered with every result within three times that limit. */
    LATE(0.2),
    /** Answered with every result, but too late to earn worth. */
    TOO_LATE(0),
    /** Refused: no task ran. */
    REFUSED(0),
    /** Answered as failed, given up or cancelled; tasks may have run. */
    FAILED(0),
    /** Not answered: no node could be reached, or the origin was lost. */
    LOST(0);

    private static final int LATE_MULTIPLE = 3;

    private final double credit;

    JobResult(double credit) {
        this.credit = credit;
    }

    /** Returns the fraction of a job's worth that this result earns. */
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
