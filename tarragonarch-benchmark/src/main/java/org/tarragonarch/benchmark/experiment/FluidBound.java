package org.tarragonarch.benchmark.experiment;

import java.util.Comparator;
import java.util.List;

/**
 * A bound on what any scheduler could earn, one that knows every job and its true run times beforehand.
 *
 * <p>Time is cut into spans. Of the jobs sent in one span, those that are worth most for their work are taken as far as
 * the endpoints' processor time reaches until the last of them is due, as if tasks could be cut to any size and nothing
 * else ran. Each span alone can earn no more than that, so neither can their sum.
 */
final class FluidBound {
    private static final long SPAN_MILLIS = 2_000;

    private final LoadShape shape;
    private final double milliCores;

    /**
     * Creates the bound for a cluster.
     *
     * @param milliCores the processor time of all endpoints together, weighted by their speed
     */
    FluidBound(LoadShape shape, double milliCores) {
        this.shape = shape;
        this.milliCores = milliCores;
    }

    /** Returns the part of all worth that can be earned. */
    double earnableShare(List<ScoredJob> experiences) {
        double owed = 0;
        double most = 0;
        for (long from = 0; from < shape.lengthMillis(); from += SPAN_MILLIS) {
            long start = from;
            List<ScoredJob> sent = experiences.stream()
                    .filter(each ->
                            each.job().sentAtMillis() >= start && each.job().sentAtMillis() < start + SPAN_MILLIS)
                    .toList();
            owed += sent.stream().mapToDouble(ScoredJob::worth).sum();
            most += most(sent, start);
        }
        return owed == 0 ? 1 : most / owed;
    }

    private double most(List<ScoredJob> sent, long start) {
        double until = sent.stream()
                .mapToDouble(each -> each.job().sentAtMillis() + each.job().aimMillis())
                .max()
                .orElse(start);
        double left = milliCores * poweredMillis(start, until);
        double earned = 0;
        List<ScoredJob> dearestFirst = sent.stream()
                .sorted(Comparator.comparingDouble(
                        (ScoredJob each) -> -each.worth() / each.job().work()))
                .toList();
        for (ScoredJob each : dearestFirst) {
            double part = Math.min(1, left / each.job().work());
            if (each.job().aimMillis() < poweredAgainAfter(each.job().sentAtMillis())) {
                part = 0;
            }
            earned += part * each.worth();
            left -= part * each.job().work();
        }
        return earned;
    }

    /** Returns how much of a span some node has power. */
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

    private double poweredAgainAfter(long sentAtMillis) {
        return shape.disturbances().stream()
                .filter(each -> each.kind() == DisturbanceKind.POWER_OFF && each.isActiveAt(sentAtMillis))
                .mapToDouble(each -> each.atMillis() + each.forMillis() - sentAtMillis)
                .max()
                .orElse(0);
    }
}
