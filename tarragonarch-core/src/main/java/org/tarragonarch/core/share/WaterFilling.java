package org.tarragonarch.core.share;

import java.util.List;

/**
 * Divides a capacity among shares by weighted max-min fairness.
 *
 * <p>Each gets its guaranteed fraction first, as far as it wants it. The rest raises the share that has the least for
 * its weight, until each has what it wants or its ceiling.
 */
final class WaterFilling {
    /** Halvings of the level: enough for a thousandth of a core of any pool. */
    private static final int HALVINGS = 48;

    private WaterFilling() {}

    /** Returns what each share gets, in the order of the demands, in thousandths of a core. */
    static long[] divide(long capacity, List<ShareDemand> demands) {
        double low = 0;
        double high = 0;
        for (ShareDemand demand : demands) {
            high = Math.max(high, most(capacity, demand) / demand.settings().weight());
        }
        if (sum(capacity, demands, high) > capacity) {
            for (int i = 0; i < HALVINGS; i++) {
                double level = (low + high) / 2;
                if (sum(capacity, demands, level) > capacity) {
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
            allotted[i] = Math.round(at(capacity, demands.get(i), low));
        }
        return allotted;
    }

    private static double sum(long capacity, List<ShareDemand> demands, double level) {
        double sum = 0;
        for (ShareDemand demand : demands) {
            sum += at(capacity, demand, level);
        }
        return sum;
    }

    /** Returns what a share gets at a level: its weight times the level, within its guarantee and what it may have. */
    private static double at(long capacity, ShareDemand demand, double level) {
        double most = most(capacity, demand);
        double guaranteed = Math.min(most, capacity * demand.settings().guaranteed());
        return Math.max(guaranteed, Math.min(most, level * demand.settings().weight()));
    }

    private static double most(long capacity, ShareDemand demand) {
        return Math.min(demand.wantedMilliCores(), capacity * demand.settings().ceiling());
    }
}
