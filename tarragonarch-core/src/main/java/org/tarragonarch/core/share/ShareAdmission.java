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
    private static final long UNBOUNDED_MILLI_CORES = Long.MAX_VALUE / 4;

    private final long capacityMilliCores;
    private final List<ShareDemand> demands;
    private final int own;
    private final long[] allotted;

    /**
     * Prepares the admission of a job.
     *
     * @param capacityMilliCores the processor time of the pool's endpoints of the service, in thousandths of a core
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

    /** Returns how the share of the job stands. */
    public ShareState state() {
        ShareDemand share = demands.get(own);
        return new ShareState(
                share.share(),
                capacityMilliCores,
                PoolShares.part(demands, own, capacityMilliCores),
                allotted[own],
                share.usedMilliCores(),
                share.waitingMilliCores());
    }

    /** Returns how much more the share may start before its ceiling, in thousandths of a core. */
    private long belowCeilingMilliCores() {
        ShareDemand share = demands.get(own);
        double ceiling = share.settings().ceiling();
        return ceiling < 1
                ? Math.max(0, (long) (ceiling * capacityMilliCores) - share.usedMilliCores())
                : UNBOUNDED_MILLI_CORES;
    }

    /**
     * Returns how long until the last task of a job starts.
     *
     * <p>What its tasks, and those of its share that go first, leave over on endpoints counts as needed too.
     *
     * @param aheadMilliCores what the share's tasks need that wait and go first, in thousandths of a core
     * @param aheadWork the same times the run time of each in milliseconds
     */
    public ShareWait waitFor(JobNeed job, PoolPlaces places, long aheadMilliCores, long aheadWork) {
        long perPlace = places.milliCoresPerPlace();
        double packing = (double) perPlace / job.milliCoresPerTask();
        long wanted = job.tasks() * perPlace;
        long belowCeiling = belowCeilingMilliCores();
        long missing = Math.max(0, wanted - Math.min(places.freePlaces() * perPlace, belowCeiling));
        double ahead = packing * aheadMilliCores;
        double work = packing * aheadWork + (double) missing * job.runMillis();
        long millis = places.places() == 0 ? 0 : waitMillis(ahead + missing, work);
        return new ShareWait(placesBelowCeiling(job, places), millis, ahead + wanted <= belowCeiling, state());
    }

    private long placesBelowCeiling(JobNeed job, PoolPlaces places) {
        double ceiling = demands.get(own).settings().ceiling();
        long below = (long) (ceiling * capacityMilliCores) / job.milliCoresPerTask();
        return ceiling < 1 ? Math.min(places.places(), below) : places.places();
    }

    /**
     * Returns how long until so much has been started, in milliseconds.
     *
     * @param needed what is to be started, in thousandths of a core
     * @param work the same times the run time of each task in milliseconds
     */
    private long waitMillis(double needed, double work) {
        if (needed <= 0) {
            return 0;
        }
        ShareDemand share = demands.get(own);
        long gap = allotted[own] - share.usedMilliCores();
        double wait = gap < 0 ? -gap / Math.max(1, share.releasedPerMilli()) : 0;
        double rate = gainedPerMilli(gap);
        double gained = rate > 0 ? Math.min(needed, gap) : 0;
        wait += rate > 0 ? gained / rate : 0;
        return Math.round(wait + work * (needed - gained) / needed / Math.max(1, allotted[own]));
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
