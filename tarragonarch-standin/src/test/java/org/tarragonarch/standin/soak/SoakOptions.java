package org.tarragonarch.standin.soak;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The size of a soak.
 *
 * @param nodes the number of nodes, each a separate process
 * @param endpoints the number of endpoints, in this process
 * @param clients the number of clients, each with one job at a time
 * @param faults the number of faults
 * @param faultPeriodMillis the period in which faults begin, in milliseconds
 */
record SoakOptions(int nodes, int endpoints, int clients, int faults, int faultPeriodMillis) {
    /** A soak for CI, which takes about ten seconds and few processes. */
    static final SoakOptions SHORT = new SoakOptions(3, 4, 4, 8, 4_000);

    SoakOptions {
        checkArgument(nodes > 0, "nodes %s is not positive", nodes);
        checkArgument(endpoints > 0, "endpoints %s is not positive", endpoints);
        checkArgument(clients > 0, "clients %s is not positive", clients);
        checkArgument(faults >= 0, "faults %s is negative", faults);
        checkArgument(faultPeriodMillis > 0, "faultPeriodMillis %s is not positive", faultPeriodMillis);
    }
}
