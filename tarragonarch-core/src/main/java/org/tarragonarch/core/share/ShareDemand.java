package org.tarragonarch.core.share;

import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.ShareSettings;

/**
 * The demand of one share on a pool.
 *
 * @param share the share
 * @param settings its weight, guaranteed fraction and ceiling
 * @param usedMilliCores the processor time of its runs under way, in thousandths of a core
 * @param waitingMilliCores the need of its waiting tasks, in thousandths of a core
 * @param releasedPerMilli the rate at which its runs are expected to end, in thousandths of a core per millisecond
 */
public record ShareDemand(
        ShareId share, ShareSettings settings, long usedMilliCores, long waitingMilliCores, double releasedPerMilli) {
    /** More than any pool has; sums of a few such values do not overflow. */
    static final long UNBOUNDED_MILLI_CORES = Long.MAX_VALUE / 4;

    /** Returns what the share would use if all its tasks ran, in thousandths of a core. */
    long wantedMilliCores() {
        return usedMilliCores + waitingMilliCores;
    }

    /** Returns the demand of the same share if it always had more waiting tasks than it could start. */
    ShareDemand backlogged() {
        return new ShareDemand(share, settings, usedMilliCores, UNBOUNDED_MILLI_CORES, releasedPerMilli);
    }
}
