package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableMap;
import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.TaskEnd;
import org.tarragonarch.model.task.TaskRun;

/**
 * One endpoint under this node's token: its runs, its free capacity, and the lease of its runs.
 *
 * <p>The endpoint decides between holders: it rejects every token lower than the highest it has seen, and lists all its
 * runs. The first call under a new token therefore fences every earlier holder and shows the runs they left, which are
 * adopted by their jobs or stopped before anything is started. From then on this class reserves the capacity of each
 * run, and releases it only when the endpoint has listed the run's end or the run's lease has certainly expired.
 */
final class HeldEndpoint {
    private final EndpointLink link;
    private final EndpointListener listener;
    private final ReservedCapacity reservedCapacity;
    private final RunEnds ends;
    private final ListedRuns listedRuns;
    private final RunListPoller poller;
    private final RunOrders orders;
    private final EndpointObservations observations;
    private boolean closed;
    private boolean retired;

    /**
     * Creates an endpoint without calling it.
     *
     * @param unanswered the start orders that the shard's endpoints have not answered
     * @param tally counts the capacity in use on the shard's endpoints by share
     */
    HeldEndpoint(
            EndpointLink link,
            EndpointListener listener,
            ProgressReports progress,
            UnansweredStarts unanswered,
            ShareTally tally) {
        this.link = link;
        this.listener = listener;
        this.reservedCapacity = new ReservedCapacity(link.entry().capacity(), tally, link.authority());
        Host host = new Host();
        this.ends = new RunEnds(link, reservedCapacity, this, listener);
        this.poller = new RunListPoller(link, host);
        this.listedRuns = new ListedRuns(link, reservedCapacity, unanswered, poller, host);
        this.orders = new RunOrders(link, reservedCapacity, poller, unanswered, host);
        this.observations = new EndpointObservations(reservedCapacity, progress);
    }

    /** Starts to read the lists. */
    void open() {
        poller.pollIfIdle();
    }

    /** Sends no more calls; runs continue until their lease expires. */
    void close() {
        closed = true;
    }

    /**
     * Sends no more calls, and ends the runs as lapsed when their lease has certainly expired.
     *
     * <p>Guards against a task that runs twice: the endpoint may have a new holder that does not know the task, and the
     * run continues until its lease expires or that holder stops it.
     */
    void abandon() {
        closed = true;
        long left = Math.max(0, link.leaseExpiryMillis() - link.nowMillis());
        link.timers().schedule(left, () -> ends.endAll(EndKind.LAPSED));
    }

    EndpointEntry entry() {
        return link.entry();
    }

    /**
     * Applies a newly read entry of the endpoint.
     *
     * <p>Of an entry that is of an earlier incarnation than the lists, only the draining state is used, because that
     * also depends on the drain of the failure domain.
     */
    void update(EndpointEntry later) {
        if (entry().incarnation().isLaterThan(later.incarnation())) {
            link.update(entry().withDraining(later.draining()));
        } else {
            reservedCapacity.resize(later.capacity());
            if (later.incarnation().isLaterThan(entry().incarnation())) {
                switchIncarnation(later);
                poller.pollIfIdle();
            } else {
                if (later.incarnation().hasStart() && !entry().incarnation().hasStart()) {
                    poller.resetEnds();
                }
                link.update(later);
            }
        }
        retired = false;
    }

    /** Returns whether the endpoint is closed and the entry is of a later incarnation. */
    boolean isSucceededBy(EndpointEntry later) {
        return closed && later.incarnation().isLaterThan(entry().incarnation());
    }

    /** Starts nothing more because the platform no longer lists the endpoint; its runs may end normally. */
    void retire() {
        retired = true;
    }

    /** Returns the speed estimate of the current incarnation. */
    EndpointSpeed speed() {
        return observations.speed();
    }

    ReservedCapacity reservedCapacity() {
        return reservedCapacity;
    }

    Resources freeCapacity() {
        return reservedCapacity.free();
    }

    /** Returns whether all runs on the endpoint are known and reserved, so that its free capacity is known. */
    boolean knowsAllRuns() {
        return poller.hasRead() && listedRuns.areAllReserved();
    }

    /** Returns whether the lists were read and every run of the job in them is adopted or adoptable. */
    boolean hasOnlyAdoptableRuns(JobId job) {
        return poller.hasRead() && !listedRuns.recovered().isStoppingRunOf(job);
    }

    /** Adopts the runs of a job that an earlier holder started on this endpoint. */
    void adopt(PlacedJob job) {
        listedRuns.recovered().adopt(job, this::adopt);
        if (!reservedCapacity.isEmpty()) {
            poller.pollIfIdle();
        }
    }

    private void adopt(PlacedTask task, TaskRun run) {
        task.adopt(run);
        orders.reserve(Reservation.adopted(task, run, task.job().taskResources(), link.nowMillis()));
    }

    /** Returns whether the lists of the endpoint were ever read. */
    boolean hasAnswered() {
        return listedRuns.anyListRead();
    }

    /**
     * Returns whether the endpoint will probably accept tasks soon, because its first answer is pending or runs of an
     * earlier holder are being stopped.
     */
    boolean isInitializing() {
        return !closed && !retired && !entry().draining() && !poller.isSilent() && !knowsAllRuns();
    }

    boolean accepts(Resources need, long nowMillis) {
        return need.fitsInto(reservedCapacity.free())
                && knowsAllRuns()
                && !poller.isSilent()
                && !closed
                && !isLeaving()
                && reservedCapacity.stopsEndMillis()
                        > nowMillis + link.settings().lease()
                && !observations.health().isEjected(nowMillis)
                && !(observations.health().isOnTrial() && !reservedCapacity.isEmpty());
    }

    /** Returns whether the endpoint, if it were idle, could run a task of the service with the given needs. */
    boolean canHost(String service, Resources need) {
        return !isLeaving() && entry().service().equals(service) && need.fitsInto(entry().capacity());
    }

    /** Starts a run; the endpoint must accept it, see {@link #accepts}. */
    void start(PlacedTask task, TaskRun run, Resources need) {
        orders.start(task, run, need);
    }

    /** Stops a run; its capacity remains reserved until its end is certain. */
    void stop(Reservation reservation) {
        orders.stop(reservation);
    }

    /** Stops runs that take far longer than expected, to restart their tasks; see {@link StallDetector}. */
    void restartOverdueRuns() {
        observations.stalls().restartOverdueRuns(link.nowMillis());
    }

    /** Records whether a run succeeded. */
    void recordOutcome(boolean succeeded) {
        observations.recordOutcome(succeeded, link.nowMillis());
    }

    private boolean isLeaving() {
        return retired || entry().draining();
    }

    /** Switches to a later incarnation; see {@link RunEnds#endpointRestarted} for the runs of the earlier one. */
    private void switchIncarnation(EndpointEntry later) {
        boolean leftAsPlanned = isLeaving();
        link.switchIncarnation(later);
        poller.reset();
        listedRuns.endpointRestarted();
        observations.reset();
        listener.endpointRestarted(this);
        ends.endpointRestarted(leftAsPlanned);
        orders.resendStopsAfterRestart();
    }

    /** Connects the parts of this endpoint with each other. */
    private final class Host implements RunListHost, RunOrders.Host {
        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public long runsEndMillis() {
            return Math.min(reservedCapacity.runsEndMillis(), listedRuns.runsEndMillis());
        }

        @Override
        public boolean needsPolling() {
            return !reservedCapacity.isEmpty() || listedRuns.mayStartUnansweredRun();
        }

        @Override
        public boolean hasRecoveredRuns() {
            return !listedRuns.recovered().isEmpty();
        }

        @Override
        public void runEnded(TaskEnd end) {
            listedRuns.processEnd(end);
            ends.processListed(end);
        }

        @Override
        public void listsRead(Iterable<RunProgress> running, long sentAtMillis, boolean firstList, boolean wasSilent) {
            ImmutableMap<TaskRun, Integer> percentByRun = ListedRuns.percentByRun(running);
            ends.processList(percentByRun, sentAtMillis, observations.stalls());
            listedRuns.processList(percentByRun.keySet(), sentAtMillis, firstList);
            if (firstList) {
                listener.firstListRead(HeldEndpoint.this);
            }
            if (wasSilent || firstList || listedRuns.recovered().isEmpty()) {
                listener.endpointUsable(HeldEndpoint.this);
            }
        }

        @Override
        public void pollUnanswered() {
            ends.endLapsedRuns(() -> !closed && poller.isSilent());
        }

        @Override
        public void endpointFenced() {
            listener.endpointFenced(HeldEndpoint.this);
        }

        @Override
        public void endpointGone() {
            closed = true;
            listedRuns.endpointGone();
            ends.endpointGone(isLeaving());
        }

        @Override
        public void endpointRestarted(EndpointIncarnation later) {
            HeldEndpoint.this.switchIncarnation(entry().withIncarnation(later));
        }

        @Override
        public HeldEndpoint endpoint() {
            return HeldEndpoint.this;
        }

        @Override
        public EndpointListener listener() {
            return listener;
        }

        @Override
        public void eject(long millis) {
            observations.health().eject(link.nowMillis(), millis);
        }
    }
}
