package org.tarragonarch.benchmark.experiment;

import java.util.ArrayList;
import java.util.List;

/** The division of the rate of jobs among failure domains over time. */
final class DomainDemand {
    private final LoadShape shape;
    private final double meanWeight;

    DomainDemand(LoadShape shape) {
        this.shape = shape;
        this.meanWeight = sum(shape.domainWeights());
    }

    /** Returns the weight of each domain at a time in milliseconds; a burst increases their sum. */
    List<Double> weightsAt(long millis) {
        List<Double> weights = new ArrayList<>(shape.domainWeights());
        for (Disturbance each : shape.disturbances()) {
            switch (each.kind()) {
                case DOMAIN_BURST -> burst(each, millis, weights);
                case DOMAINS_SWING -> swing(each, millis, weights);
                case CLIENTS_MOVE -> move(each, millis, weights);
                default -> {
                    // Does not change the demand of single domains.
                }
            }
        }
        return weights;
    }

    /** Returns the rate of jobs with these weights, as a multiple of the mean rate. */
    double rateFactor(List<Double> weights) {
        return sum(weights) / meanWeight;
    }

    private static void burst(Disturbance burst, long millis, List<Double> weights) {
        if (burst.isActiveAt(millis)) {
            burst.domains().forEach(domain -> weights.set(domain, weights.get(domain) * burst.factor()));
        }
    }

    private static void swing(Disturbance swing, long millis, List<Double> weights) {
        if (millis < swing.atMillis()) {
            return;
        }
        double turns = (double) (millis - swing.atMillis()) / swing.forMillis();
        for (int domain = 0; domain < weights.size(); domain++) {
            double phase = 2 * Math.PI * (turns - (double) domain / weights.size());
            weights.set(domain, weights.get(domain) * (1 + swing.factor() * Math.sin(phase)));
        }
    }

    private static void move(Disturbance move, long millis, List<Double> weights) {
        if (move.isActiveAt(millis)) {
            int from = move.domains().get(0);
            int to = move.domains().get(1);
            double moved = weights.get(from) * move.factor();
            weights.set(from, weights.get(from) - moved);
            weights.set(to, weights.get(to) + moved);
        }
    }

    private static double sum(List<Double> weights) {
        return weights.stream().mapToDouble(Double::doubleValue).sum();
    }
}
