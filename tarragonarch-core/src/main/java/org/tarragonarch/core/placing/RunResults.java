package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/** Processes what endpoints say of runs: judges the endpoint, learns run times, and decides what its task does next. */
final class RunResults implements EndpointEvents {
    private final RunTimes runTimes;
    private final Timers timers;
    private final PlacerListener listener;
    private final Host host;

    RunResults(RunTimes runTimes, Timers timers, PlacerListener listener, Host host) {
        this.runTimes = runTimes;
        this.timers = timers;
        this.listener = listener;
        this.host = host;
    }

    @Override
    public void ended(HeldEndpoint endpoint, Reservation reservation, EndKind kind) {
        if (host.closed()) {
            return;
        }
        PlacedTask task = reservation.task();
        PlacedJob job = task.job();
        if (kind.ownEnd()) {
            endpoint.recordOutcome(kind == EndKind.DONE);
        }
        if (kind != EndKind.DONE && !job.isOver()) {
            EndpointEntry entry = endpoint.entry();
            listener.runEndedBadly(entry.domain(), reservation.run(), entry.id(), kind);
        }
        if (!task.holds(reservation)) {
            return;
        }
        if (job.isOver()) {
            task.clearPlacement();
        } else if (kind == EndKind.DONE) {
            learn(endpoint.speed(), reservation);
            if (job.recordFinished(task)) {
                host.settle(job, Verdict.DONE);
            }
        } else if (kind.countsAsAttempt()) {
            task.recordFailure(endpoint.entry().incarnation());
            retryOrFail(job, task);
        } else if (kind == EndKind.CRASHED) {
            task.recordCrash();
            task.recordLostRun();
            retryOrFail(job, task);
        } else if (kind == EndKind.LAPSED) {
            task.recordLostRun();
            retryOrFail(job, task);
        } else {
            task.clearPlacement();
            retryOrFail(job, task);
        }
        host.capacityReleased(job);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Most likely this node was suspended for longer than a lease. Guards against a task that runs twice: the node
     * of its job may have taken this one for lost and offered the job elsewhere, so the task starts again only after
     * that node was heard.
     */
    @Override
    public void lapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation) {
        PlacedTask task = reservation.task();
        boolean isOpen = !host.closed() && !task.job().isOver() && task.holds(reservation);
        if (isOpen) {
            host.awaitOrigin(task);
        }
        ended(endpoint, reservation, EndKind.LAPSED);
    }

    @Override
    public void crashed(HeldEndpoint endpoint, PlacedTask task) {
        task.recordCrash();
        boolean isOpen = !host.closed() && !task.job().isOver() && !task.isDone();
        if (isOpen && task.hasCrashedTooOften()) {
            host.settle(task.job(), Verdict.FAILED);
        }
    }

    @Override
    public void restarted(HeldEndpoint endpoint) {
        EndpointEntry entry = endpoint.entry();
        listener.endpointRestarted(entry.domain(), entry.incarnation());
    }

    @Override
    public void refused(HeldEndpoint endpoint, Reservation reservation) {
        requeueRefused(reservation);
    }

    @Override
    public void refusedAsOld(HeldEndpoint endpoint, Reservation reservation) {
        reservation.task().skipRunNumbers();
        requeueRefused(reservation);
    }

    @Override
    public void unreadable(HeldEndpoint endpoint, Reservation reservation) {
        PlacedJob job = reservation.task().job();
        reservation.task().clearPlacement();
        if (!job.isOver()) {
            host.settle(job, Verdict.FAILED);
        }
        host.capacityReleased(job);
    }

    @Override
    public void firstListed(HeldEndpoint endpoint) {
        host.firstListed(endpoint);
    }

    @Override
    public void usable(HeldEndpoint endpoint) {
        host.capacityFound();
    }

    @Override
    public void fenced(HeldEndpoint endpoint) {
        host.fenced(endpoint.entry().domain());
    }

    /**
     * Learns from a run whose start was seen.
     *
     * <p>The queue learns the run time at speed 1, so that choosing fast endpoints does not shift what is expected.
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
                host.requeue(task.job());
            }
            host.capacityReleased(task.job());
        }
    }

    private void retryOrFail(PlacedJob job, PlacedTask task) {
        if (task.failures() >= job.queue().attempts() || task.hasCrashedTooOften()) {
            host.settle(job, Verdict.FAILED);
        } else if (task.wasLostTooOften()) {
            host.settle(job, Verdict.TOO_LATE);
        } else {
            host.requeue(job);
        }
    }

    /** The placer whose runs these are. */
    interface Host {
        /** Returns whether every job was given back. */
        boolean closed();

        /** Ends a job with a verdict. */
        void settle(PlacedJob job, Verdict verdict);

        /** A task of the job has to be started again. */
        void requeue(PlacedJob job);

        /** A task is not to start before the node of its job was heard. */
        void awaitOrigin(PlacedTask task);

        /** A run of the job takes no room any more. */
        void capacityReleased(PlacedJob job);

        /** An endpoint can take tasks that it could not take before. */
        void capacityFound();

        /** An endpoint was read for the first time. */
        void firstListed(HeldEndpoint endpoint);

        /** The endpoints of a shard obey another holder. */
        void fenced(FailureDomain shard);
    }
}
