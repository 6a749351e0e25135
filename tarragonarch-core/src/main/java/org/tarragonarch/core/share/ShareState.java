package org.tarragonarch.core.share;

import org.tarragonarch.model.share.ShareId;

/**
 * The state of one share in a pool; all values are in thousandths of a core.
 *
 * @param share the share
 * @param capacityMilliCores the capacity of the pool for the share's service
 * @param entitledMilliCores its entitlement: what it gets if every share is backlogged
 * @param allottedMilliCores its allotment: what it may use now, given what the others want
 * @param usedMilliCores the processor time of its runs under way
 * @param waitingMilliCores the need of its waiting tasks
 */
public record ShareState(
        ShareId share,
        long capacityMilliCores,
        long entitledMilliCores,
        long allottedMilliCores,
        long usedMilliCores,
        long waitingMilliCores) {
    /** Returns what the share has in use beyond its entitlement. */
    public long borrowedMilliCores() {
        return Math.max(0, usedMilliCores - entitledMilliCores);
    }

    /** Returns whether the share wants more than it may use now. */
    public boolean isLimited() {
        return waitingMilliCores > 0 && usedMilliCores + waitingMilliCores > allottedMilliCores;
    }
}
