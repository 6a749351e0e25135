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
 * One endpoint under this node's token: what runs there, what room is left, and the lease of all that runs.
 *
 * <p>The endpoint arbitrates: it obeys no token lower than the highest it has seen, and lists all that runs. So the
 * first call under a new token shuts out every earlier holder and shows what they left behind, which is adopted by its
 * jobs or stopped before anything is started. From then on room is counted here, and is given back only when the
 * endpoint listed the end, or when the lease of the run has certainly run out.
 */
final class HeldEndpoint {
    private final EndpointLink link;
    private final EndpointEvents events;
    private final ReservedRoom room;
    private final RunEnds ends;
    private final ListedRuns listedRuns;
    private final RunListPoller poller;
    private final RunOrders orders;
    private final EndpointObservations observations;
    private boolean closed;
    private boolean retired;

    /**
     * Creates an endpoint that was not called yet.
     *
     * @param unanswered the orders that the shard's endpoints left without an answer
     * @param tally what the shard's endpoints have in use, by share
     */
    HeldEndpoint(
            EndpointLink link,
            EndpointEvents events,
            ProgressReports progress,
            UnansweredStarts unanswered,
            ShareTally tally) {
        this.link = link;
        this.events = events;
        this.room = new ReservedRoom(link.entry().capacity(), tally);
        Host host = new Host();
        this.ends = new RunEnds(link, room, this, events);
        this.poller = new RunListPoller(link, host);
        this.listedRuns = new ListedRuns(link, room, unanswered, poller, host);
        this.orders = new RunOrders(link, room, poller, unanswered, host);
        this.observations = new EndpointObservations(room, progress);
    }

    /** Reads the lists for the first time. */
    void open() {
        poller.pollIfIdle();
    }

    /** Gives no more orders; what runs is left to its lease. */
    void close() {
        closed = true;
    }

    /**
     * Gives no more orders, and takes what runs for over when its lease has certainly run out.
     *
     * <p>Guards against a task that runs twice: its endpoint may have another holder now, who knows nothing of it, and
     * until the lease is over or that holder has stopped it, it goes on.
     */
    void abandon() {
        closed = true;
        long left = Math.max(0, link.leaseOverAtMillis() - link.nowMillis());
        link.timers().after(left, () -> ends.endAll(EndKind.LAPSED));
    }

    EndpointEntry entry() {
        return link.entry();
    }

    /**
     * Records an entry that was read later.
     *
     * <p>An entry of an earlier incarnation than the lists tell of is dropped, but for whether the endpoint may get
     * anything new: that is also decided by who drains its failure domain.
     */
    void update(EndpointEntry later) {
        if (entry().incarnation().isLaterThan(later.incarnation())) {
            link.update(entry().withDraining(later.draining()));
        } else {
            room.resize(later.capacity());
            if (later.incarnation().isLaterThan(entry().incarnation())) {
                restarted(later);
                poller.pollIfIdle();
            } else {
                if (later.incarnation().hasStart() && !entry().incarnation().hasStart()) {
                    poller.startLearned();
                }
                link.update(later);
            }
        }
        retired = false;
    }

    /** Returns whether the endpoint is over and the entry is of a later incarnation. */
    boolean isSucceededBy(EndpointEntry later) {
        return closed && later.incarnation().isLaterThan(entry().incarnation());
    }

    /** The platform no longer lists the endpoint: what runs there may end, and nothing is started. */
    void retire() {
        retired = true;
    }

    /** Returns how fast this incarnation of the endpoint is. */
    EndpointSpeed speed() {
        return observations.speed();
    }

    ReservedRoom room() {
        return room;
    }

    Resources free() {
        return room.free();
    }

    /** Returns whether everything that runs there is known. */
    boolean known() {
        return poller.read() && listedRuns.allReserved();
    }

    /** Returns whether no run of the job can be here but those that may be adopted. */
    boolean readyFor(JobId job) {
        return poller.read() && !listedRuns.recovered().anyStopping(job);
    }

    /** Lets a job adopt what an earlier holder started of it here. */
    void adopt(PlacedJob job) {
        listedRuns.recovered().adopt(job, this::adopt);
        if (!room.isEmpty()) {
            poller.pollIfIdle();
        }
    }

    private void adopt(PlacedTask task, TaskRun run) {
        task.adopt(run);
        orders.reserve(Reservation.adopted(task, run, task.job().taskResources(), link.nowMillis()));
    }

    /** Returns whether a task runs here under which an endpoint has crashed. */
    boolean hostsSuspect() {
        return room.anySuspect();
    }

    /** Returns whether the endpoint has ever answered. */
    boolean answered() {
        return listedRuns.anyListRead();
    }

    /**
     * Returns whether the endpoint will most likely take tasks within moments, because its first answer is due or what
     * an earlier holder left there is being stopped.
     */
    boolean isInitializing() {
        return !closed && !retired && !entry().draining() && !poller.silent() && !known();
    }

    boolean takes(Resources need, long nowMillis) {
        return need.fitsInto(room.free())
                && known()
                && !poller.silent()
                && !closed
                && !retired
                && !entry().draining()
                && !observations.health().isEjected(nowMillis)
                && !(observations.health().isOnTrial() && !room.isEmpty());
    }

    /** Returns whether the endpoint, were it idle, could be given a task of the service that needs so much. */
    boolean canHost(String service, Resources need) {
        return !retired
                && !entry().draining()
                && entry().service().equals(service)
                && need.fitsInto(entry().capacity());
    }

    /** Starts a run; the endpoint must take it. */
    void start(PlacedTask task, TaskRun run, Resources need) {
        orders.start(task, run, need);
    }

    /** Stops a run, which stays reserved until its end is certain. */
    void stop(Reservation reservation) {
        orders.stop(reservation);
    }

    /** Stops runs that take far longer than expected; see {@link StallDetector}. */
    void restartOverdueRuns() {
        observations.stalls().restartOverdueRuns(link.nowMillis());
    }

    /** Records whether a run succeeded. */
    void recordOutcome(boolean succeeded) {
        observations.recordOutcome(succeeded, link.nowMillis());
    }

    private boolean leftAsPlanned() {
        return retired || entry().draining();
    }

    /** Switches to a later incarnation; see {@link RunEnds#restarted} for the runs of the earlier one. */
    private void restarted(EndpointEntry later) {
        boolean leftAsPlanned = leftAsPlanned();
        link.restarted(later);
        poller.restart();
        listedRuns.restarted();
        observations.reset();
        events.restarted(this);
        ends.restarted(leftAsPlanned);
        orders.stopAgainAfterRestart();
    }

    /** What this endpoint does for its parts. */
    private final class Host implements RunListPoller.Host, RunOrders.Host {
        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public boolean needsPolling() {
            return !room.isEmpty() || listedRuns.mayStartLate();
        }

        @Override
        public boolean anyRecovered() {
            return !listedRuns.recovered().isEmpty();
        }

        @Override
        public void ended(TaskEnd end) {
            listedRuns.processEnd(end);
            room.of(end.run()).ifPresent(reservation -> ends.endAsListed(reservation, end.kind()));
        }

        @Override
        public void listsRead(Iterable<RunProgress> running, long sentAtMillis, boolean firstList, boolean wasSilent) {
            ImmutableMap<TaskRun, Integer> percentByRun = ListedRuns.percentByRun(running);
            ends.processList(percentByRun, sentAtMillis, observations.stalls());
            listedRuns.processList(percentByRun.keySet(), sentAtMillis, firstList);
            if (firstList) {
                events.firstListed(HeldEndpoint.this);
            }
            if (wasSilent || firstList || listedRuns.recovered().isEmpty()) {
                events.usable(HeldEndpoint.this);
            }
        }

        @Override
        public void unanswered() {
            ends.lapseWhile(() -> !closed && poller.silent());
        }

        @Override
        public void fenced() {
            events.fenced(HeldEndpoint.this);
        }

        @Override
        public void endpointGone() {
            closed = true;
            listedRuns.endpointGone();
            ends.endpointGone(leftAsPlanned());
        }

        @Override
        public void restarted(EndpointIncarnation later) {
            HeldEndpoint.this.restarted(entry().withIncarnation(later));
        }

        @Override
        public HeldEndpoint endpoint() {
            return HeldEndpoint.this;
        }

        @Override
        public EndpointEvents events() {
            return events;
        }

        @Override
        public void eject(long millis) {
            observations.health().eject(link.nowMillis(), millis);
        }
    }
}
