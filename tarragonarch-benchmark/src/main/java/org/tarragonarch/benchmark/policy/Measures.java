package org.tarragonarch.benchmark.policy;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.tarragonarch.model.id.TeamName;

/** The counters of a run, among them the two measures of {@code docs/MEASURES.md}. */
final class Measures {
    private static final double RATIO_UNIT = 1000;

    private final Histogram ratio = new Histogram(1, 100_000_000L, 3);
    final Multiset<Waste> waste = HashMultiset.create();
    private final Map<TeamName, Double> offeredNanos = new HashMap<>();
    private final Map<TeamName, Double> servedNanos = new HashMap<>();
    long usefulStarts;
    long jobsOffered;
    long jobsRefused;
    long jobsLate;
    long tasksFailed;
    long lastFailureNanos;
    double slotNanos;
    double busyNanos;

    /** Messages that started no task. */
    enum Waste {
        /** A task refused by an endpoint without a free slot. */
        REFUSED_SEND,
        /** A health probe of an endpoint. */
        PROBE,
        /** A report to a peer. */
        REPORT,
        /** A stop message for a task that had already ended. */
        USELESS_STOP
    }

    void offered(Job job) {
        jobsOffered++;
        offeredNanos.merge(job.team, (double) job.workNanos(), Double::sum);
    }

    void recordResponseRatio(double responseOverIdeal) {
        ratio.recordValue((long) (responseOverIdeal * RATIO_UNIT));
    }

    void served(Job job) {
        servedNanos.merge(job.team, (double) job.workNanos(), Double::sum);
    }

    double ratioAt(double percentile) {
        return ratio.getValueAtPercentile(percentile) / RATIO_UNIT;
    }

    double messagesPerStart(Waste kind) {
        return (double) waste.count(kind) / Math.max(1, usefulStarts);
    }

    double wastePerStart() {
        return (double) waste.size() / Math.max(1, usefulStarts);
    }

    /** Returns the work of the jobs answered in time as a fraction of the capacity of all slots. */
    double goodput() {
        return servedNanos.values().stream().mapToDouble(Double::doubleValue).sum() / slotNanos;
    }

    /** Returns the fraction of slot time spent on tasks, including those of jobs that were no longer open. */
    double busyShare() {
        return busyNanos / slotNanos;
    }

    /** Returns the work of a team's jobs answered in time as a fraction of the capacity of all slots. */
    double served(TeamName team) {
        return servedNanos.getOrDefault(team, 0.0) / slotNanos;
    }

    double offered(TeamName team) {
        return offeredNanos.getOrDefault(team, 0.0) / slotNanos;
    }

    void add(Measures other) {
        ratio.add(other.ratio);
        waste.addAll(other.waste);
        other.offeredNanos.forEach((team, nanos) -> offeredNanos.merge(team, nanos, Double::sum));
        other.servedNanos.forEach((team, nanos) -> servedNanos.merge(team, nanos, Double::sum));
        usefulStarts += other.usefulStarts;
        jobsOffered += other.jobsOffered;
        jobsRefused += other.jobsRefused;
        jobsLate += other.jobsLate;
        tasksFailed = Math.max(tasksFailed, other.tasksFailed);
        lastFailureNanos = Math.max(lastFailureNanos, other.lastFailureNanos);
        slotNanos += other.slotNanos;
        busyNanos += other.busyNanos;
    }
}
