package org.tarragonarch.core.share;

import org.tarragonarch.model.share.ShareId;

/**
 * How one share stands in a pool; all values in thousandths of a core.
 *
 * @param share the share
 * @param capacityMilliCores the capacity of the pool for the share's service
 * @param partMilliCores what the share gets if every share wants more than there is
 * @param allottedMilliCores what it may use now, while the others that want capacity have theirs
 * @param usedMilliCores the processor time of its runs under way
 * @param waitingMilliCores what its waiting tasks need
 */
public record ShareState(
        ShareId share,
        long capacityMilliCores,
        long partMilliCores,
        long allottedMilliCores,
        long usedMilliCores,
        long waitingMilliCores) {
    /** Returns what the share has in use beyond its part, which others lend it. */
    public long borrowedMilliCores() {
        return Math.max(0, usedMilliCores - partMilliCores);
    }

    /** Returns whether the share wants more than it may use now. */
    public boolean isLimited() {
        return waitingMilliCores > 0 && usedMilliCores + waitingMilliCores > allottedMilliCores;
    }
}
