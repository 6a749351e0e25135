package org.tarragonarch.core.endpoint;

/**
 * Whether another failure domain can be reached.
 *
 * <p>Guards against a cut between failure domains: it shows as endpoints that no connection reaches, one after another,
 * and every task tried on the next one would lose time to find the same. After a few nothing more is sent there until
 * any endpoint of it answers a probe.
 */
final class DomainReachability {
    private int unreachableInTurn;

    boolean isCutOff() {
        return unreachableInTurn >= HealthPolicy.UNREACHABLE_WHEN_CUT_OFF;
    }

    /** Records that an endpoint there answered. */
    void recordAnswer() {
        unreachableInTurn = 0;
    }

    void recordUnreachable() {
        unreachableInTurn++;
    }
}
