package org.tarragonarch.core.share;

import static com.google.common.base.Preconditions.checkElementIndex;

import java.util.List;

/**
 * Estimates how long a job waits for capacity within its share.
 *
 * <p>The wait has up to three phases. While the share uses more than its allotment, its own runs have to end. While it
 * uses less, it gets the capacity that ending runs of any share release, until it reaches its allotment. From then on
 * each of its tasks replaces one of its own runs. Capacity that is free now can be used at once up to the share's
 * ceiling, since idle capacity is lent.
 */
public final class ShareAdmission {
    private final long capacityMilliCores;
    private final List<ShareDemand> demands;
    private final int index;
    private final long[] allotted;

    /**
     * Creates the admission of jobs of one share.
     *
     * @param capacityMilliCores the processor time of the pool's endpoints of the service, in thousandths of a core
     * @param demands the demands of all shares of the service
     * @param index the index of the jobs' share in {@code demands}
     */
    public ShareAdmission(long capacityMilliCores, List<ShareDemand> demands, int index) {
        checkElementIndex(index, demands.size(), "share");
        this.capacityMilliCores = capacityMilliCores;
        this.demands = demands;
        this.index = index;
        this.allotted = WaterFilling.divide(capacityMilliCores, PoolShares.withBacklogged(demands, index));
    }

    /** Returns the state of the share. */
    public ShareState state() {
        ShareDemand share = demands.get(index);
        return new ShareState(
                share.share(),
                capacityMilliCores,
                PoolShares.entitlement(demands, index, capacityMilliCores),
                allotted[index],
                share.usedMilliCores(),
                share.waitingMilliCores());
    }

    /** Returns how much more the share may use before it reaches its ceiling, in thousandths of a core. */
    private long belowCeilingMilliCores() {
        ShareDemand share = demands.get(index);
        double ceiling = share.settings().ceiling();
        return ceiling < 1
                ? Math.max(0, (long) (ceiling * capacityMilliCores) - share.usedMilliCores())
                : ShareDemand.UNBOUNDED_MILLI_CORES;
    }

    /**
     * Returns the time until the last task of a job starts.
     *
     * <p>The capacity that its tasks and those ahead of it leave unusable on endpoints counts as needed too; see
     * {@link TaskSlots#milliCoresPerSlot}.
     *
     * @param aheadMilliCores the need of the share's waiting tasks that start before the job, in thousandths of a core
     * @param aheadWork the sum over these tasks of need times expected run time, in thousandths of a core times
     *     milliseconds
     */
    public ShareWait waitFor(JobNeed job, TaskSlots slots, long aheadMilliCores, long aheadWork) {
        long perSlot = slots.milliCoresPerSlot();
        double packing = (double) perSlot / job.milliCoresPerTask();
        long wanted = job.tasks() * perSlot;
        long belowCeiling = belowCeilingMilliCores();
        long missing = Math.max(0, wanted - Math.min(slots.free() * perSlot, belowCeiling));
        double ahead = packing * aheadMilliCores;
        double work = packing * aheadWork + (double) missing * job.runMillis();
        long millis = slots.total() == 0 ? 0 : waitMillis(ahead + missing, work);
        return new ShareWait(slotsBelowCeiling(job, slots), millis, ahead + wanted <= belowCeiling, state());
    }

    private long slotsBelowCeiling(JobNeed job, TaskSlots slots) {
        double ceiling = demands.get(index).settings().ceiling();
        long below = (long) (ceiling * capacityMilliCores) / job.milliCoresPerTask();
        return ceiling < 1 ? Math.min(slots.total(), below) : slots.total();
    }

    /**
     * Returns the time until tasks of this need have started, in milliseconds.
     *
     * @param needed the need of the tasks, in thousandths of a core
     * @param work the sum of need times expected run time, in thousandths of a core times milliseconds
     */
    private long waitMillis(double needed, double work) {
        if (needed <= 0) {
            return 0;
        }
        ShareDemand share = demands.get(index);
        long gap = allotted[index] - share.usedMilliCores();
        double wait = gap < 0 ? -gap / Math.max(1, share.releasedPerMilli()) : 0;
        double rate = growthPerMilli(gap);
        double gained = rate > 0 ? Math.min(needed, gap) : 0;
        wait += rate > 0 ? gained / rate : 0;
        return Math.round(wait + work * (needed - gained) / needed / Math.max(1, allotted[index]));
    }

    /**
     * Returns the rate at which the share grows towards its allotment, in thousandths of a core per millisecond.
     * Capacity that ending runs release is divided among the shares in proportion to how far each is below its
     * allotment.
     */
    private double growthPerMilli(long gap) {
        if (gap <= 0) {
            return 0;
        }
        double released = 0;
        double deficits = 0;
        for (int i = 0; i < demands.size(); i++) {
            ShareDemand each = demands.get(i);
            released += each.releasedPerMilli();
            long deficit = Math.min(allotted[i], each.wantedMilliCores()) - each.usedMilliCores();
            deficits += i == index ? gap : Math.max(0, deficit);
        }
        return released * gap / deficits;
    }
}
