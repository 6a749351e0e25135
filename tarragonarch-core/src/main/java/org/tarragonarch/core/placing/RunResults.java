package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * Processes the results of runs: records the health and speed of the endpoint, learns run times, and decides whether
 * the task is retried or its job is settled.
 */
final class RunResults implements EndpointListener {
    private final RunTimes runTimes;
    private final RecentEnds recentEnds;
    private final Timers timers;
    private final PlacerListener listener;
    private final JobLifecycle jobs;
    private final Host host;

    RunResults(
            RunTimes runTimes,
            RecentEnds recentEnds,
            Timers timers,
            PlacerListener listener,
            JobLifecycle jobs,
            Host host) {
        this.runTimes = runTimes;
        this.recentEnds = recentEnds;
        this.timers = timers;
        this.listener = listener;
        this.jobs = jobs;
        this.host = host;
    }

    @Override
    public void runEnded(HeldEndpoint endpoint, Reservation reservation, EndKind kind) {
        if (host.isClosed()) {
            return;
        }
        PlacedTask task = reservation.task();
        PlacedJob job = task.job();
        if (kind.ranToEnd()) {
            endpoint.recordOutcome(kind == EndKind.DONE);
        }
        if (kind != EndKind.DONE && !job.isOver()) {
            EndpointEntry entry = endpoint.entry();
            listener.runEndedBadly(entry.domain(), reservation.run(), entry.id(), kind);
        }
        if (kind == EndKind.CRASHED) {
            recordCrash(task);
        }
        if (!task.holds(reservation)) {
            return;
        }
        boolean wasAdopted = markAdoptedUnresolved(reservation, kind);
        if (job.isOver()) {
            task.clearPlacement();
        } else if (kind == EndKind.DONE) {
            recentEnds.discard(task);
            learn(endpoint.speed(), reservation);
            if (job.recordFinished(task)) {
                jobs.settle(job, Verdict.DONE);
            }
        } else if (kind.countsAsAttempt()) {
            task.recordFailure(reservation.run(), endpoint.entry().incarnation());
            recentEnds.keep(task);
            retryOrAbandon(job, task);
        } else if (kind == EndKind.CRASHED || kind == EndKind.LAPSED) {
            task.recordLostRun();
            recentEnds.keep(task);
            retryOrAbandon(job, task);
        } else {
            task.clearPlacement();
            retryOrAbandon(job, task);
        }
        if (wasAdopted) {
            jobs.recovering().addAgain(job);
        }
        jobs.capacityReleased(job);
    }

    /** Keeps the task of an adopted run that has ended without success from starting; returns whether it does. */
    private static boolean markAdoptedUnresolved(Reservation reservation, EndKind kind) {
        PlacedTask task = reservation.task();
        boolean isLost = reservation.adopted() && kind != EndKind.DONE && !task.isUnresolved();
        if (isLost) {
            task.markUnresolved();
        }
        return isLost;
    }

    /**
     * {@inheritDoc}
     *
     * <p>The usual cause is that this node was suspended for longer than a lease. Guards against a task that runs
     * twice: the origin of its job may have considered this node lost and offered the job to another holder, so the
     * task starts again only after a message from the origin.
     */
    @Override
    public void runLapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation) {
        PlacedTask task = reservation.task();
        boolean isOpen = !host.isClosed() && !task.job().isOver() && task.holds(reservation);
        if (isOpen) {
            host.awaitOrigin(task);
        }
        runEnded(endpoint, reservation, EndKind.LAPSED);
    }

    @Override
    public void crashConfirmed(HeldEndpoint endpoint, Reservation reservation) {
        PlacedTask task = reservation.task();
        recordCrash(task);
        EndpointEntry entry = endpoint.entry();
        listener.crashConfirmed(entry.domain(), reservation.run(), entry.id());
    }

    /** Counts a crash for a task, or for the one that has its name since its job was submitted again. */
    private void recordCrash(PlacedTask task) {
        Optional<PlacedTask> open = jobs.findOpen(task.name());
        PlacedTask counted = open.orElse(task);
        counted.record().addCrash();
        recentEnds.keep(counted);
        open.ifPresent(found -> jobs.abandonIfDue(found.job()));
    }

    @Override
    public void failedRunListed(TaskRun run) {
        if (host.isClosed()) {
            return;
        }
        Optional<PlacedTask> open = jobs.findOpen(run.task());
        if (open.isPresent()) {
            open.get().record().addFailedRun(run.run());
            recentEnds.keep(open.get());
            jobs.abandonIfDue(open.get().job());
        } else {
            recentEnds.recordFailedRun(run);
        }
    }

    @Override
    public void endpointRestarted(HeldEndpoint endpoint) {
        EndpointEntry entry = endpoint.entry();
        listener.endpointRestarted(entry.domain(), entry.incarnation());
    }

    @Override
    public void startRefused(HeldEndpoint endpoint, Reservation reservation) {
        requeueRefused(reservation);
    }

    @Override
    public void startRefusedAsOld(HeldEndpoint endpoint, Reservation reservation) {
        reservation.task().skipRunNumbers();
        requeueRefused(reservation);
    }

    @Override
    public void orderUnreadable(HeldEndpoint endpoint, Reservation reservation) {
        PlacedTask task = reservation.task();
        PlacedJob job = task.job();
        task.clearPlacement();
        if (!job.isOver()) {
            jobs.abandon(task, AbandonGround.ORDER_UNREADABLE);
        }
        jobs.capacityReleased(job);
    }

    @Override
    public void firstListRead(HeldEndpoint endpoint) {
        jobs.recovering().adoptFrom(endpoint);
    }

    @Override
    public void endpointUsable(HeldEndpoint endpoint) {
        jobs.scheduleStart();
    }

    @Override
    public void endpointFenced(HeldEndpoint endpoint) {
        host.shardFenced(endpoint.entry().domain());
    }

    /**
     * Learns the run time of a run that this holder started.
     *
     * <p>The run time is normalized to speed 1 for the queue, so that a preference for fast endpoints does not shift
     * the expected run time.
     */
    private void learn(EndpointSpeed speed, Reservation reservation) {
        if (!reservation.adopted()) {
            PlacedJob job = reservation.task().job();
            long ran = timers.nowMillis() - reservation.startedAtMillis();
            runTimes.record(job.queue().name(), job.step().estimateMillis(), Math.round(ran * speed.value()));
            SpeedLearning.recordEnd(speed, reservation, ran);
        }
    }

    private void requeueRefused(Reservation reservation) {
        PlacedTask task = reservation.task();
        if (task.holds(reservation)) {
            task.clearPlacement();
            if (!task.job().isOver()) {
                jobs.requeue(task.job());
            }
            jobs.capacityReleased(task.job());
        }
    }

    private void retryOrAbandon(PlacedJob job, PlacedTask task) {
        task.abandonGround().ifPresentOrElse(ground -> jobs.abandon(task, ground), () -> jobs.requeue(job));
    }

    /** The placer that the runs belong to. */
    interface Host {
        /** Returns whether the placer is closed and has given back every job. */
        boolean isClosed();

        /** Delays the next start of a task until a message from the origin of its job has arrived. */
        void awaitOrigin(PlacedTask task);

        /** Called when an endpoint of a shard rejects this holder's token because it has seen a higher one. */
        void shardFenced(FailureDomain shard);
    }
}
