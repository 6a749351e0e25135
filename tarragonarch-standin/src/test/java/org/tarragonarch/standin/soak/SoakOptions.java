package org.tarragonarch.standin.soak;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The size of a soak.
 *
 * @param nodes how many nodes, each a process
 * @param endpoints how many endpoints, in this process
 * @param clients how many clients, each with one job at a time
 * @param faults how many faults
 * @param faultPeriodMillis by when the last fault has begun, from the start of the faults
 */
record SoakOptions(int nodes, int endpoints, int clients, int faults, int faultPeriodMillis) {
    /** What takes some ten seconds and few processes, for CI. */
    static final SoakOptions SHORT = new SoakOptions(3, 4, 4, 8, 4_000);

    SoakOptions {
        checkArgument(nodes > 0, "nodes %s is not positive", nodes);
        checkArgument(endpoints > 0, "endpoints %s is not positive", endpoints);
        checkArgument(clients > 0, "clients %s is not positive", clients);
        checkArgument(faults >= 0, "faults %s is negative", faults);
        checkArgument(faultPeriodMillis > 0, "millis %s is not positive", faultPeriodMillis);
    }
}
