package org.tarragonarch.benchmark.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the jobs of a run, which depend only on the shape and the seed. */
final class JobSource {
    private static final int CLIENTS_PER_DOMAIN = 10;
    private static final double MILLIS = 1_000;

    /** A time before any burst. */
    private static final long BEFORE_BURSTS = -1;

    private final LoadShape shape;
    private final DomainDemand demand;
    private final SplittableRandom random;

    JobSource(LoadShape shape, long seed) {
        this.shape = shape;
        this.demand = new DomainDemand(shape);
        this.random = new SplittableRandom(seed);
    }

    List<DrawnJob> draw() {
        List<DrawnJob> jobs = new ArrayList<>();
        double at = 0;
        while (true) {
            long now = Math.round(at);
            double domainFactor = demand.rateFactor(demand.weightsAt(now));
            double rate =
                    shape.jobsPerSecond() * domainFactor * sumOfKindWeights(now) / sumOfKindWeights(BEFORE_BURSTS);
            at += -Math.log(1 - random.nextDouble()) / rate * MILLIS;
            if (at >= shape.lengthMillis()) {
                return jobs;
            }
            jobs.add(job(jobs.size() + 1, Math.round(at)));
        }
    }

    private double sumOfKindWeights(long millis) {
        return kindWeights(millis).stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the relative rate of each kind at a time in milliseconds. */
    private List<Double> kindWeights(long millis) {
        return shape.kinds().stream()
                .map(kind -> kind.part() * shape.burstFactorAt(kind, millis))
                .toList();
    }

    private DrawnJob job(long number, long atMillis) {
        JobKind kind = shape.kinds().get(pick(kindWeights(atMillis)));
        int domain = pick(demand.weightsAt(atMillis));
        double mean = kind.runMillis().draw(random);
        double[] runs = new double[kind.width().drawInteger(random)];
        for (int task = 0; task < runs.length; task++) {
            double factor = 1 + kind.uneven() * random.nextGaussian();
            runs[task] = Math.max(1, mean * Math.max(0.2, factor)) * stragglerFactor();
        }
        long estimate = Math.max(1, Math.round(mean * Math.exp(kind.estimateError() * random.nextGaussian())));
        long milliCores = Math.round(kind.milliCores().draw(random));
        int client = random.nextInt(CLIENTS_PER_DOMAIN);
        return new DrawnJob(number, kind, domain, client, atMillis, shape.stretch(), milliCores, runs, estimate);
    }

    private double stragglerFactor() {
        boolean straggles = shape.stragglerPart() > 0 && random.nextDouble() < shape.stragglerPart();
        return straggles ? shape.stragglerFactor() : 1;
    }

    private int pick(List<Double> weights) {
        double left = random.nextDouble()
                * weights.stream().mapToDouble(Double::doubleValue).sum();
        for (int i = 0; i < weights.size() - 1; i++) {
            left -= weights.get(i);
            if (left < 0) {
                return i;
            }
        }
        return weights.size() - 1;
    }
}
