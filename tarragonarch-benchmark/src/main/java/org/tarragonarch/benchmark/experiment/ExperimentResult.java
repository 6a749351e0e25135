package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/** The result of one run. */
public final class ExperimentResult {
    /** The length of the windows of {@link #earnedByWindow}. */
    private static final long WINDOW_MILLIS = 2_000;

    /** The quantile of the width of a kind from which its jobs count as the widest. */
    private static final double WIDEST_QUANTILE = 0.9;

    private final ImmutableList<ScoredJob> scoredJobs;
    private final double bound;
    private final int overcommitCount;
    private final MoveCount moves;

    ExperimentResult(List<ScoredJob> scoredJobs, double bound, int overcommitCount, MoveCount moves) {
        this.scoredJobs = ImmutableList.copyOf(scoredJobs);
        this.bound = bound;
        this.overcommitCount = overcommitCount;
        this.moves = moves;
    }

    /** Returns the fraction of the total worth that was earned. */
    public double earnedShare() {
        return earnedShare(each -> true);
    }

    /** Returns an upper bound on the fraction of the total worth that any scheduler could have earned. */
    public double bound() {
        return bound;
    }

    /** Returns how many runs were started beyond the capacity of an endpoint. */
    public int overcommitCount() {
        return overcommitCount;
    }

    /** Returns how often a job was offered to another failure domain to start at once. */
    public int moved() {
        return moves.moved();
    }

    /** Returns how often such an offer was declined. */
    public int movedBack() {
        return moves.movedBack();
    }

    /** Returns the number of jobs sent. */
    public int jobs() {
        return scoredJobs.size();
    }

    /** Returns the number of jobs with a result. */
    public long count(JobResult result) {
        return scoredJobs.stream().filter(each -> each.result() == result).count();
    }

    /** Returns the earned fraction of worth for each kind. */
    public ImmutableMap<String, Double> earnedByKind() {
        return earnedByGroup(each -> each.job().kind().name());
    }

    /** Returns the earned fraction of worth for the callers of each domain. */
    public ImmutableMap<String, Double> earnedByDomain() {
        return earnedByGroup(each -> "d" + each.job().domain());
    }

    /** Returns the earned fraction of worth for jobs sent in each two-second window, by its start in milliseconds. */
    public ImmutableMap<String, Double> earnedByWindow() {
        return earnedByGroup(each -> Long.toString(each.job().sentAtMillis() / WINDOW_MILLIS * WINDOW_MILLIS));
    }

    /** Returns the earned fraction of worth for the widest tenth of a kind. */
    public double earnedByWidest(String kind) {
        double[] widths = scoredJobs.stream()
                .filter(each -> each.job().kind().name().equals(kind))
                .mapToDouble(each -> each.job().width())
                .sorted()
                .toArray();
        double least = widths[(int) (widths.length * WIDEST_QUANTILE)];
        return earnedShare(
                each -> each.job().kind().name().equals(kind) && each.job().width() >= least);
    }

    /** Returns the earned fraction of worth for jobs sent in a span; its end is exclusive. */
    public double earnedBetween(long fromMillis, long toMillis) {
        return earnedShare(
                each -> each.job().sentAtMillis() >= fromMillis && each.job().sentAtMillis() < toMillis);
    }

    private ImmutableMap<String, Double> earnedByGroup(Function<ScoredJob, String> group) {
        Map<String, double[]> sums = new LinkedHashMap<>();
        for (ScoredJob each : scoredJobs) {
            double[] sum = sums.computeIfAbsent(group.apply(each), unused -> new double[2]);
            sum[0] += each.earned();
            sum[1] += each.worth();
        }
        ImmutableMap.Builder<String, Double> shares = ImmutableMap.builder();
        sums.forEach((name, sum) -> shares.put(name, sum[0] / sum[1]));
        return shares.buildOrThrow();
    }

    private double earnedShare(Predicate<ScoredJob> wanted) {
        double earned = 0;
        double total = 0;
        for (ScoredJob each : scoredJobs) {
            if (wanted.test(each)) {
                earned += each.earned();
                total += each.worth();
            }
        }
        return total == 0 ? 1 : earned / total;
    }
}
