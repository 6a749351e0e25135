package org.tarragonarch.model.share;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The weight and the bounds of the share of one priority.
 *
 * @param priority the priority of the queues
 * @param weight the weight by which contended capacity is divided among shares; above 0
 * @param guaranteed the fraction of the capacity that the share gets before all others, 0 to 1
 * @param ceiling the fraction of the capacity that the share never exceeds, even if capacity is idle; above 0, at
 *     most 1 and not below the guaranteed fraction
 */
public record ShareSettings(int priority, double weight, double guaranteed, double ceiling) {
    /** The weight of a priority that the plan does not name. */
    static final double DEFAULT_WEIGHT = 1;

    /** Checks that the weight and the fractions are in range. */
    public ShareSettings {
        check(weight > 0 && Double.isFinite(weight), priority, "weight", weight, "is not over 0");
        check(guaranteed >= 0 && guaranteed <= 1, priority, "guaranteed", guaranteed, "is not from 0 to 1");
        check(ceiling > 0 && ceiling <= 1, priority, "ceiling", ceiling, "is not over 0 and up to 1");
        check(ceiling >= guaranteed, priority, "ceiling", ceiling, "is under guaranteed " + guaranteed);
    }

    private static void check(boolean holds, int priority, String key, double value, String rule) {
        checkArgument(holds, "priority %s: %s %s %s", priority, key, value, rule);
    }

    /** Returns settings with a weight, no guaranteed fraction and no ceiling. */
    public static ShareSettings weighted(int priority, double weight) {
        return new ShareSettings(priority, weight, 0, 1);
    }

    /** Returns whether the share has a guaranteed fraction or a ceiling below the whole capacity. */
    public boolean isBounded() {
        return guaranteed > 0 || ceiling < 1;
    }
}
