package org.tarragonarch.core.share;

import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.ShareSettings;

/**
 * What one share uses and wants of a pool.
 *
 * @param share the share
 * @param settings its weight, guaranteed fraction and ceiling
 * @param usedMilliCores the processor time of its runs under way, in thousandths of a core
 * @param waitingMilliCores what its waiting tasks need
 * @param releasedPerMilli how fast its runs should end, in thousandths of a core a millisecond
 */
public record ShareDemand(
        ShareId share, ShareSettings settings, long usedMilliCores, long waitingMilliCores, double releasedPerMilli) {
    /** Returns what the share would use if it had all it wants. */
    long wantedMilliCores() {
        return usedMilliCores + waitingMilliCores;
    }

    /** Returns the same share as one that wants all it may have. */
    ShareDemand insatiable() {
        return new ShareDemand(share, settings, usedMilliCores, Long.MAX_VALUE / 4, releasedPerMilli);
    }
}
