package org.tarragonarch.core.endpoint;

/**
 * Whether another failure domain can be reached.
 *
 * <p>Guards against a cut between failure domains: it shows as endpoints that no connection reaches, one after another,
 * and every task tried on the next one would lose time to find the same. After a few nothing more is sent there until
 * any endpoint of it answers a probe.
 */
final class DomainReach {
    private int unreachableInTurn;

    boolean isCut() {
        return unreachableInTurn >= HealthPolicy.UNREACHABLE_WHEN_CUT;
    }

    /** Records that an endpoint there answered. */
    void answered() {
        unreachableInTurn = 0;
    }

    void unreachable() {
        unreachableInTurn++;
    }
}
