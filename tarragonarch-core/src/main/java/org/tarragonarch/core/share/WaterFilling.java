package org.tarragonarch.core.share;

import java.util.List;

/**
 * Weighted max-min fair division of a capacity among shares, by progressive filling.
 *
 * <p>Each share first gets its guaranteed fraction, as far as it wants it. The rest goes to the share with the least
 * capacity divided by weight, until each has what it wants or reaches its ceiling.
 */
final class WaterFilling {
    /** Bisection steps for the level: exact to a thousandth of a core in pools of any size. */
    private static final int BISECTIONS = 48;

    private WaterFilling() {}

    /** Returns the allotment of each share, in the order of the demands, in thousandths of a core. */
    static long[] divide(long capacity, List<ShareDemand> demands) {
        double low = 0;
        double high = 0;
        for (ShareDemand demand : demands) {
            high = Math.max(
                    high, upperBound(capacity, demand) / demand.settings().weight());
        }
        if (totalAt(capacity, demands, high) > capacity) {
            for (int i = 0; i < BISECTIONS; i++) {
                double level = (low + high) / 2;
                if (totalAt(capacity, demands, level) > capacity) {
                    high = level;
                } else {
                    low = level;
                }
            }
        } else {
            low = high;
        }
        long[] allotted = new long[demands.size()];
        for (int i = 0; i < allotted.length; i++) {
            allotted[i] = Math.round(allotmentAt(capacity, demands.get(i), low));
        }
        return allotted;
    }

    private static double totalAt(long capacity, List<ShareDemand> demands, double level) {
        double sum = 0;
        for (ShareDemand demand : demands) {
            sum += allotmentAt(capacity, demand, level);
        }
        return sum;
    }

    /**
     * Returns the allotment of a share at a level: its weight times the level, within its guarantee and its upper
     * bound.
     */
    private static double allotmentAt(long capacity, ShareDemand demand, double level) {
        double upperBound = upperBound(capacity, demand);
        double guaranteed = Math.min(upperBound, capacity * demand.settings().guaranteed());
        return Math.max(
                guaranteed, Math.min(upperBound, level * demand.settings().weight()));
    }

    /** Returns the maximum that a share can use: what it wants, up to its ceiling. */
    private static double upperBound(long capacity, ShareDemand demand) {
        return Math.min(demand.wantedMilliCores(), capacity * demand.settings().ceiling());
    }
}
