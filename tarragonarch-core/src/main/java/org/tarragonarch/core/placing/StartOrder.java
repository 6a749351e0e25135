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
 * The order in which one pass tries to start the pending jobs.
 *
 * <p>Jobs that can be in time go before those that cannot. Among the shares that have such a job, one below its
 * guaranteed fraction comes first, then the one with the least processor time in use relative to its weight. Within a
 * share, jobs are ordered by their latest start. Where shares are configured, jobs that have begun go first within
 * their share; otherwise a share that gets little capacity would begin many jobs and complete none.
 */
final class StartOrder {
    private final PoolShares shares;
    private final PoolCapacity capacity;
    private final long nowMillis;
    private final List<Cursor> cursors = new ArrayList<>();
    private Optional<Cursor> tried = Optional.empty();

    StartOrder(PendingShares pending, PoolShares shares, PoolCapacity capacity, long nowMillis) {
        this.shares = shares;
        this.capacity = capacity;
        this.nowMillis = nowMillis;
        for (Map.Entry<ShareId, PendingJobs> each : pending.shares()) {
            if (!each.getValue().isEmpty()) {
                cursors.add(new Cursor(each.getKey(), each.getValue()));
            }
        }
    }

    /**
     * Returns the job to try next; to be called after the previous one was tried.
     *
     * @param largestFree the largest free processor time of one endpoint, in thousandths of a core; jobs that need more
     *     per task are skipped
     */
    Optional<PlacedJob> next(long largestFree) {
        tried.ifPresent(Cursor::refresh);
        tried = first(largestFree, false);
        if (tried.isPresent()) {
            return Optional.of(tried.get().takeInTime());
        }
        tried = first(largestFree, true);
        return tried.map(Cursor::takeOverdue);
    }

    private Optional<Cursor> first(long largestFree, boolean overdue) {
        Cursor best = null;
        for (Cursor cursor : cursors) {
            if (cursor.jobs.anyFitsInto(largestFree)
                    && cursor.has(overdue, largestFree)
                    && staysBelowCeiling(cursor.share, cursor.jobs.smallestTaskMilliCores())
                    && (best == null || cursor.precedes(best))) {
                best = cursor;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether a share stays within its ceiling if it starts a task that needs this processor time, in
     * thousandths of a core.
     */
    boolean staysBelowCeiling(ShareId share, long milliCores) {
        return !shares.plan().isBounded()
                || !shares.exceedsCeiling(share, milliCores, capacity.of(share.service(), nowMillis));
    }

    /** The position of the pass in the jobs of one share. */
    private final class Cursor {
        private final ShareId share;
        private final PendingJobs jobs;
        private final boolean begunFirst = shares.plan().isConfigured();
        private final Deque<PlacedJob> begun = new ArrayDeque<>();
        private final Deque<PlacedJob> overdue = new ArrayDeque<>();
        private Optional<PlacedJob> next;
        private double usedByWeight;
        private boolean isBelowGuaranteed;

        Cursor(ShareId share, PendingJobs jobs) {
            this.share = share;
            this.jobs = jobs;
            this.next = jobs.first();
            if (begunFirst) {
                begun.addAll(jobs.started());
            }
            refresh();
        }

        /** Reads the present use of the share; during a pass only starts change it. */
        private void refresh() {
            usedByWeight = shares.usedByWeight(share);
            isBelowGuaranteed = shares.plan().isBounded()
                    && shares.isBelowGuaranteed(share, capacity.of(share.service(), nowMillis));
        }

        boolean precedes(Cursor other) {
            return isBelowGuaranteed == other.isBelowGuaranteed ? usedByWeight < other.usedByWeight : isBelowGuaranteed;
        }

        boolean has(boolean wantsOverdue, long largestFree) {
            if (wantsOverdue) {
                return !overdue.isEmpty();
            }
            while (next.isPresent() && isSkipped(next.get(), largestFree)) {
                next = jobs.after(next.get());
            }
            return !begun.isEmpty() || next.isPresent();
        }

        private boolean isSkipped(PlacedJob job, long largestFree) {
            if (job.taskResources().milliCores() > largestFree) {
                return true;
            }
            if (job.isOverdue(nowMillis)) {
                overdue.add(job);
                return true;
            }
            return begunFirst && job.wasStarted();
        }

        PlacedJob takeInTime() {
            if (!begun.isEmpty()) {
                return begun.poll();
            }
            PlacedJob taken = next.orElseThrow();
            next = jobs.after(taken);
            return taken;
        }

        PlacedJob takeOverdue() {
            return overdue.poll();
        }
    }
}
