package org.tarragonarch.benchmark.experiment;

import java.util.Comparator;
import java.util.List;

/**
 * An upper bound on the worth that any scheduler can earn, even one that knows all jobs and run times in advance.
 *
 * <p>Time is divided into spans. The jobs sent in one span are taken in order of worth per work until they use up the
 * processor time of all endpoints from the start of the span until the last of them is due, as if tasks were divisible
 * and nothing else ran. No scheduler can earn more in any span, so the sum over all spans is a bound.
 */
final class FluidBound {
    private static final long SPAN_MILLIS = 2_000;

    private final LoadShape shape;
    private final double milliCores;

    /**
     * Creates the bound for a cluster.
     *
     * @param shape the load shape
     * @param milliCores the processor time of all endpoints together, weighted by their speed
     */
    FluidBound(LoadShape shape, double milliCores) {
        this.shape = shape;
        this.milliCores = milliCores;
    }

    /** Returns the fraction of the total worth that can be earned. */
    double earnableShare(List<ScoredJob> scoredJobs) {
        double total = 0;
        double earnable = 0;
        for (long from = 0; from < shape.lengthMillis(); from += SPAN_MILLIS) {
            long start = from;
            List<ScoredJob> sent = scoredJobs.stream()
                    .filter(each ->
                            each.job().sentAtMillis() >= start && each.job().sentAtMillis() < start + SPAN_MILLIS)
                    .toList();
            total += sent.stream().mapToDouble(ScoredJob::worth).sum();
            earnable += maxEarned(sent, start);
        }
        return total == 0 ? 1 : earnable / total;
    }

    private double maxEarned(List<ScoredJob> sent, long start) {
        double until = sent.stream()
                .mapToDouble(each -> each.job().sentAtMillis() + each.job().aimMillis())
                .max()
                .orElse(start);
        double left = milliCores * poweredMillis(start, until);
        double earned = 0;
        List<ScoredJob> byWorthPerWork = sent.stream()
                .sorted(Comparator.comparingDouble(
                        (ScoredJob each) -> -each.worth() / each.job().work()))
                .toList();
        for (ScoredJob each : byWorthPerWork) {
            double part = Math.min(1, left / each.job().work());
            if (each.job().aimMillis() < millisUntilPowerIsBack(each.job().sentAtMillis())) {
                part = 0;
            }
            earned += part * each.worth();
            left -= part * each.job().work();
        }
        return earned;
    }

    /** Returns the time in a span, in milliseconds, in which nodes have power. */
    private double poweredMillis(double from, double until) {
        double powered = until - from;
        for (Disturbance each : shape.disturbances()) {
            if (each.kind() == DisturbanceKind.POWER_OFF) {
                double end = each.atMillis() + each.forMillis();
                powered -= Math.max(0, Math.min(until, end) - Math.max(from, each.atMillis()));
            }
        }
        return powered;
    }

    private double millisUntilPowerIsBack(long sentAtMillis) {
        return shape.disturbances().stream()
                .filter(each -> each.kind() == DisturbanceKind.POWER_OFF && each.isActiveAt(sentAtMillis))
                .mapToDouble(each -> each.atMillis() + each.forMillis() - sentAtMillis)
                .max()
                .orElse(0);
    }
}
