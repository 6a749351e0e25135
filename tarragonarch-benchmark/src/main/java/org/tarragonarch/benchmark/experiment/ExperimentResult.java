package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/** What came of one run. */
public final class ExperimentResult {
    /** Worst moments are looked for in windows of this length. */
    private static final long WINDOW_MILLIS = 2_000;

    /** The largest tenth of a kind is looked at by itself. */
    private static final double LARGEST_PART = 0.9;

    private final ImmutableList<ScoredJob> experiences;
    private final double bound;
    private final int overcommitCount;
    private final MoveCount moves;

    ExperimentResult(List<ScoredJob> experiences, double bound, int overfilled, MoveCount moves) {
        this.experiences = ImmutableList.copyOf(experiences);
        this.bound = bound;
        this.overcommitCount = overfilled;
        this.moves = moves;
    }

    /** Returns the part of all worth that was earned. */
    public double earnedShare() {
        return part(each -> true);
    }

    /** Returns the part of all worth that no scheduler could have exceeded. */
    public double bound() {
        return bound;
    }

    /** Returns how often an endpoint was given more than it has room for. */
    public int overcommitCount() {
        return overcommitCount;
    }

    /** Returns how often a job was offered to another failure domain to start at once. */
    public int moved() {
        return moves.moved();
    }

    /** Returns how often such an offer was not taken. */
    public int movedBack() {
        return moves.movedBack();
    }

    /** Returns how many jobs were sent. */
    public int jobs() {
        return experiences.size();
    }

    /** Returns how many jobs met a fate. */
    public long count(JobResult fate) {
        return experiences.stream().filter(each -> each.result() == fate).count();
    }

    /** Returns the part that was earned by each kind. */
    public ImmutableMap<String, Double> earnedByKind() {
        return by(each -> each.job().kind().name());
    }

    /** Returns the part that was earned by the callers of each domain. */
    public ImmutableMap<String, Double> earnedByDomain() {
        return by(each -> "d" + each.job().domain());
    }

    /** Returns the part that was earned in each window of two seconds, by its start in milliseconds. */
    public ImmutableMap<String, Double> earnedByWindow() {
        return by(each -> Long.toString(each.job().sentAtMillis() / WINDOW_MILLIS * WINDOW_MILLIS));
    }

    /** Returns the part that was earned by the widest tenth of a kind. */
    public double earnedByWidest(String kind) {
        double[] widths = experiences.stream()
                .filter(each -> each.job().kind().name().equals(kind))
                .mapToDouble(each -> each.job().width())
                .sorted()
                .toArray();
        double least = widths[(int) (widths.length * LARGEST_PART)];
        return part(each -> each.job().kind().name().equals(kind) && each.job().width() >= least);
    }

    /** Returns the part that was earned by the jobs sent in a span. */
    public double earnedBetween(long fromMillis, long toMillis) {
        return part(
                each -> each.job().sentAtMillis() >= fromMillis && each.job().sentAtMillis() < toMillis);
    }

    private ImmutableMap<String, Double> by(Function<ScoredJob, String> group) {
        Map<String, double[]> sums = new LinkedHashMap<>();
        for (ScoredJob each : experiences) {
            double[] sum = sums.computeIfAbsent(group.apply(each), unused -> new double[2]);
            sum[0] += each.earned();
            sum[1] += each.worth();
        }
        ImmutableMap.Builder<String, Double> parts = ImmutableMap.builder();
        sums.forEach((name, sum) -> parts.put(name, sum[0] / sum[1]));
        return parts.buildOrThrow();
    }

    private double part(Predicate<ScoredJob> wanted) {
        double earned = 0;
        double owed = 0;
        for (ScoredJob each : experiences) {
            if (wanted.test(each)) {
                earned += each.earned();
                owed += each.worth();
            }
        }
        return owed == 0 ? 1 : earned / owed;
    }
}
