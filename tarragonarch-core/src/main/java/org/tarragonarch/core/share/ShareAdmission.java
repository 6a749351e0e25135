package org.tarragonarch.core.share;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * How long a job waits for capacity within its share.
 *
 * <p>Three things may come first, one after the other: runs beyond the share's allotment end; places of any share come
 * free until the share has its allotment; the share's own runs make room for each other. Capacity that is free now is
 * the share's up to its ceiling, since idle capacity is lent.
 */
public final class ShareAdmission {
    private final long capacityMilliCores;
    private final List<ShareDemand> demands;
    private final int own;
    private final long[] allotted;

    /**
     * Prepares the admission of a job.
     *
     * @param capacityMilliCores what tasks of the job's size can use of the pool, in thousandths of a core
     * @param demands every share of the service
     * @param own the index of the job's share among them
     */
    public ShareAdmission(long capacityMilliCores, List<ShareDemand> demands, int own) {
        checkArgument(own >= 0 && own < demands.size(), "own %s of %s", own, demands.size());
        this.capacityMilliCores = capacityMilliCores;
        this.demands = demands;
        this.own = own;
        this.allotted = WaterFilling.divide(capacityMilliCores, PoolShares.withInsatiable(demands, own));
    }

    /** Returns what the share may use while the others that want capacity have theirs, in thousandths of a core. */
    public long allottedMilliCores() {
        return allotted[own];
    }

    /** Returns how the share of the job stands. */
    public ShareState state() {
        ShareDemand share = demands.get(own);
        return new ShareState(
                share.share(),
                capacityMilliCores,
                PoolShares.part(demands, own, capacityMilliCores),
                allottedMilliCores(),
                share.usedMilliCores(),
                share.waitingMilliCores());
    }

    /** Returns how much more the share may start before its ceiling, in thousandths of a core. */
    public long belowCeilingMilliCores() {
        ShareDemand share = demands.get(own);
        long ceiling = (long) (capacityMilliCores * share.settings().ceiling());
        return Math.max(0, ceiling - share.usedMilliCores());
    }

    /**
     * Returns how long until the last task of a job starts, in milliseconds.
     *
     * @param aheadMilliCores what the share's tasks need that wait and go first
     * @param aheadWork the same times the run time of each, in thousandths of a core times milliseconds
     * @param missingMilliCores what the job needs beyond what is free for it now
     * @param runMillis the expected run time of a task of the job
     */
    public long waitMillis(long aheadMilliCores, long aheadWork, long missingMilliCores, long runMillis) {
        long needed = aheadMilliCores + missingMilliCores;
        if (needed <= 0) {
            return 0;
        }
        ShareDemand share = demands.get(own);
        long gap = allottedMilliCores() - share.usedMilliCores();
        double wait = gap < 0 ? -gap / Math.max(1, share.releasedPerMilli()) : 0;
        double work = aheadWork + (double) missingMilliCores * runMillis;
        double gained = 0;
        double rate = gainedPerMilli(gap);
        if (rate > 0) {
            gained = Math.min(needed, gap);
            wait += gained / rate;
        }
        return Math.round(wait + work * (needed - gained) / needed / Math.max(1, allottedMilliCores()));
    }

    /** Returns how fast the share grows towards its allotment: what comes free, in parts by how much each lacks. */
    private double gainedPerMilli(long gap) {
        if (gap <= 0) {
            return 0;
        }
        double released = 0;
        double lacking = 0;
        for (int i = 0; i < demands.size(); i++) {
            ShareDemand each = demands.get(i);
            released += each.releasedPerMilli();
            long lacks = Math.min(allotted[i], each.wantedMilliCores()) - each.usedMilliCores();
            lacking += i == own ? gap : Math.max(0, lacks);
        }
        return released * gap / lacking;
    }
}
