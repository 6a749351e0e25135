package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Timers;

/** Creates the jobs of one placer from their offers. */
final class JobFactory {
    private final HeldShards shards;
    private final RunTimes runTimes;
    private final PoolShares poolShares;
    private final RecentCrashes crashes;
    private final Timers timers;

    /**
     * Creates a factory.
     *
     * @param shards the shards whose endpoints may still carry out unanswered orders of earlier submissions
     * @param runTimes the recorded run times, from which those of the tasks are expected
     * @param crashes the endpoints that crashed under tasks of jobs that are submitted again
     */
    JobFactory(HeldShards shards, RunTimes runTimes, PoolShares poolShares, RecentCrashes crashes, Timers timers) {
        this.shards = shards;
        this.runTimes = runTimes;
        this.poolShares = poolShares;
        this.crashes = crashes;
        this.timers = timers;
    }

    /**
     * Creates the job of an offer; none of its tasks has started.
     *
     * <p>Its runs are numbered above those of orders that may still be carried out. Guards against a run that nobody
     * stops: its order would count as answered once a later run of the same number is listed.
     *
     * @param firstRun the lowest number of the first run of each task
     */
    PlacedJob create(Offer offer, int firstRun) {
        String queue = offer.queue().name();
        TaskStep step = offer.job().step();
        long expected = runTimes.expectedMillis(queue, step.estimateMillis());
        double slowest = Math.max(1, runTimes.medianSlowestRatio(queue, step.count()));
        JobTimes times = JobTimes.of(offer, expected, timers.nowMillis());
        ShareId share =
                poolShares.shareOf(offer.queue().service(), offer.queue().priority());
        int firstUnused =
                Math.max(firstRun, shards.lastUnansweredRun(offer.job().id()) + 1);
        PlacedJob job = new PlacedJob(offer, firstUnused, expected, slowest, times, share);
        job.tasks().forEach(task -> task.recordCrashes(crashes.count(task.name())));
        return job;
    }
}
