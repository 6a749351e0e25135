package org.tarragonarch.core.placing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.model.share.ShareId;

/**
 * The order in which one pass over the pending jobs tries to start them.
 *
 * <p>Jobs that can be in time go before those that cannot. Among the shares that have such a job, one below its
 * guaranteed part comes first, then the one with the least processor time in use for its weight. Within a share jobs go
 * by their latest start; where there are several shares those begun go first, since a share that is passed by others
 * would otherwise hold capacity for many jobs of which none ends.
 */
final class StartOrder {
    private final PoolShares shares;
    private final PoolCapacity capacity;
    private final long nowMillis;
    private final List<Walk> walks = new ArrayList<>();

    StartOrder(PendingShares pending, PoolShares shares, PoolCapacity capacity, long nowMillis) {
        this.shares = shares;
        this.capacity = capacity;
        this.nowMillis = nowMillis;
        for (Map.Entry<ShareId, PendingJobs> each : pending.shares()) {
            if (!each.getValue().isEmpty()) {
                walks.add(new Walk(each.getKey(), each.getValue()));
            }
        }
    }

    /**
     * Returns the job to try next.
     *
     * @param roomiest the most processor time that one endpoint has free
     */
    Optional<PlacedJob> next(long roomiest) {
        Optional<Walk> inTime = first(roomiest, false);
        return inTime.isPresent()
                ? inTime.get().takeInTime()
                : first(roomiest, true).flatMap(Walk::takeOverdue);
    }

    private Optional<Walk> first(long roomiest, boolean overdue) {
        Walk best = null;
        for (Walk walk : walks) {
            if (walk.has(overdue)
                    && walk.jobs.anyFitsInto(roomiest)
                    && mayStart(walk.share, walk.jobs.smallestNeed())
                    && (best == null || precedes(walk.share, best.share))) {
                best = walk;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether a share stays within its ceiling with so much more. */
    boolean mayStart(ShareId share, long milliCores) {
        return !shares.plan().isBounded()
                || !shares.exceedsCeiling(share, milliCores, capacity.of(share.service(), nowMillis));
    }

    private boolean precedes(ShareId share, ShareId other) {
        if (shares.plan().isBounded()) {
            boolean isOwed = shares.isBelowGuaranteed(share, capacity.of(share.service(), nowMillis));
            boolean isOtherOwed = shares.isBelowGuaranteed(other, capacity.of(other.service(), nowMillis));
            if (isOwed != isOtherOwed) {
                return isOwed;
            }
        }
        return shares.usedByWeight(share) < shares.usedByWeight(other);
    }

    /** Where the pass is in the jobs of one share. */
    private final class Walk {
        private final ShareId share;
        private final PendingJobs jobs;
        private final boolean begunFirst = shares.plan().isConfigured();
        private final Deque<PlacedJob> begun = new ArrayDeque<>();
        private final Deque<PlacedJob> overdue = new ArrayDeque<>();
        private Optional<PlacedJob> next;

        Walk(ShareId share, PendingJobs jobs) {
            this.share = share;
            this.jobs = jobs;
            this.next = jobs.first();
            if (begunFirst) {
                begun.addAll(jobs.begun());
            }
        }

        boolean has(boolean wantsOverdue) {
            if (wantsOverdue) {
                return !overdue.isEmpty();
            }
            while (next.isPresent() && isPassed(next.get())) {
                next = jobs.after(next.get());
            }
            return !begun.isEmpty() || next.isPresent();
        }

        private boolean isPassed(PlacedJob job) {
            if (job.isOverdue(nowMillis)) {
                overdue.add(job);
                return true;
            }
            return begunFirst && job.wasStarted();
        }

        Optional<PlacedJob> takeInTime() {
            if (!begun.isEmpty()) {
                return Optional.of(begun.poll());
            }
            Optional<PlacedJob> taken = next;
            next = jobs.after(taken.orElseThrow());
            return taken;
        }

        Optional<PlacedJob> takeOverdue() {
            return Optional.of(overdue.poll());
        }
    }
}
