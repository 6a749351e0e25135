package org.tarragonarch.benchmark.experiment;

import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.function.DoublePredicate;

/** What the whole of one endpoint of a class costs at each moment; constant within a cell of time. */
final class EndpointPrices {
    private final double cellMillis;
    private final double[] perMilli;
    private final double[] sums;

    EndpointPrices(int cells, double cellMillis) {
        this.cellMillis = cellMillis;
        this.perMilli = new double[cells];
        this.sums = new double[cells + 1];
    }

    /** Lowers each price by a step times the endpoints that stand free in its cell, but never below nothing. */
    void move(double step, double[] free) {
        for (int cell = 0; cell < perMilli.length; cell++) {
            perMilli[cell] = Math.max(0, perMilli[cell] - step * free[cell]);
        }
        sums[0] = 0;
        for (int cell = 0; cell < perMilli.length; cell++) {
            sums[cell + 1] = sums[cell] + perMilli[cell] * cellMillis;
        }
    }

    /** Returns what an endpoint costs over all time. */
    double total() {
        return sums[perMilli.length];
    }

    /** Returns what an endpoint costs over a span. */
    double between(double fromMillis, double toMillis) {
        return upTo(toMillis) - upTo(fromMillis);
    }

    private double upTo(double millis) {
        int cell = (int) (millis / cellMillis);
        if (cell >= perMilli.length) {
            return total();
        }
        return sums[cell] + perMilli[cell] * (millis - cell * cellMillis);
    }

    /**
     * Returns when an endpoint is cheapest for some time.
     *
     * <p>Prices are constant within a cell, so it is where the start or the end meets an edge, or at either limit.
     *
     * @param from the earliest start
     * @param to the latest start
     * @param length how long it is wanted
     * @param allowed which starts there may be
     */
    OptionalDouble cheapestStart(double from, double to, double length, DoublePredicate allowed) {
        if (to < from) {
            return OptionalDouble.empty();
        }
        Cheapest cheapest = new Cheapest(length, allowed);
        cheapest.consider(from);
        cheapest.consider(to);
        for (double edge = edgeFrom(from); edge < to; edge += cellMillis) {
            cheapest.consider(edge);
        }
        for (double edge = edgeFrom(from + length); edge < to + length; edge += cellMillis) {
            cheapest.consider(edge - length);
        }
        return cheapest.start;
    }

    private double edgeFrom(double millis) {
        return Math.ceil(millis / cellMillis) * cellMillis;
    }

    /** Notes that a part of an endpoint is in use over a span. */
    void use(double part, double fromMillis, double toMillis, double[] free) {
        int last = Math.min(perMilli.length - 1, (int) (toMillis / cellMillis));
        for (int cell = (int) (fromMillis / cellMillis); cell <= last; cell++) {
            double inside = Math.min(toMillis, (cell + 1) * cellMillis) - Math.max(fromMillis, cell * cellMillis);
            free[cell] -= part * Math.max(0, inside) / cellMillis;
        }
    }

    /** Returns a number for each cell. */
    double[] cells(double value) {
        double[] cells = new double[perMilli.length];
        Arrays.fill(cells, value);
        return cells;
    }

    /** The cheapest of the starts that were considered. */
    private final class Cheapest {
        private final double length;
        private final DoublePredicate allowed;
        private OptionalDouble start = OptionalDouble.empty();
        private double least = Double.MAX_VALUE;

        Cheapest(double length, DoublePredicate allowed) {
            this.length = length;
            this.allowed = allowed;
        }

        void consider(double candidate) {
            double cost = between(candidate, candidate + length);
            if (cost < least && allowed.test(candidate)) {
                least = cost;
                start = OptionalDouble.of(candidate);
            }
        }
    }
}
