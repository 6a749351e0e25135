package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.TaskEnd;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

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
    private final StallDetector stalls;
    private final EndpointHealth health = new EndpointHealth();
    private final EndpointSpeed speed = new EndpointSpeed();
    private final ReservedRoom room;
    private final RecoveredRuns recovered;
    private final RunListPoller poller;
    private final RunOrders orders;
    private final List<PlacedTask> lapsedInSilence = new ArrayList<>();
    private boolean closed;
    private boolean retired;

    HeldEndpoint(
            EndpointEntry entry,
            FencingToken token,
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            EndpointEvents events,
            ProgressReports progress) {
        this.link = new EndpointLink(entry, token, settings, orders, timers);
        this.events = events;
        this.room = new ReservedRoom(entry.capacity());
        this.stalls = new StallDetector(room, health, speed, progress);
        Host host = new Host();
        this.recovered = new RecoveredRuns(timers, settings.stopTime(), host);
        this.poller = new RunListPoller(link, host);
        this.orders = new RunOrders(link, room, poller, host);
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
        link.timers().after(left, () -> releaseAll(EndKind.LAPSED));
    }

    EndpointEntry entry() {
        return link.entry();
    }

    /** Records a later entry of the same life. */
    void update(EndpointEntry later) {
        link.update(later);
        retired = false;
        room.resize(later.capacity());
    }

    /** The platform no longer lists the endpoint: what runs there may end, and nothing is started. */
    void retire() {
        retired = true;
    }

    /** Returns how fast this incarnation of the endpoint is. */
    EndpointSpeed speed() {
        return speed;
    }

    ReservedRoom room() {
        return room;
    }

    Resources free() {
        return room.free();
    }

    /** Returns whether everything that runs there is known. */
    boolean known() {
        return poller.read() && recovered.isEmpty();
    }

    /** Returns whether no run of the job can be here but those that may be adopted. */
    boolean readyFor(JobId job) {
        return poller.read() && !recovered.anyStopping(job);
    }

    /** Lets a job adopt what an earlier holder started of it here. */
    void adopt(PlacedJob job) {
        if (recovered.nothingToAdopt()) {
            return;
        }
        for (PlacedTask task : job.tasks()) {
            if (recovered.isDoneBefore(task.name()) && task.isUnresolved()) {
                job.finished(task);
            }
        }
        for (TaskRun run : recovered.freeOf(job.id())) {
            job.task(run.task()).filter(PlacedTask::isUnresolved).ifPresent(task -> adopt(task, run));
        }
        if (!room.isEmpty()) {
            poller.pollIfIdle();
        }
    }

    private void adopt(PlacedTask task, TaskRun run) {
        recovered.remove(run);
        task.adopted(run);
        orders.reserve(Reservation.adopted(task, run, task.job().need(), link.nowMillis()));
    }

    /** Returns whether a task runs here under which an endpoint has crashed. */
    boolean hostsSuspect() {
        return room.anySuspect();
    }

    /** Returns whether the endpoint has ever answered. */
    boolean answered() {
        return poller.read();
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
                && !health.isEjected(nowMillis)
                && !(health.isOnTrial() && !room.isEmpty());
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
        stalls.restartOverdueRuns(link.nowMillis());
    }

    /** Records whether a run succeeded. */
    void recordOutcome(boolean succeeded) {
        if (succeeded) {
            health.recordSuccess();
        } else {
            health.recordFailure(link.nowMillis());
        }
    }

    private void endOthers(ImmutableMap<TaskRun, Integer> running, long sentAtMillis) {
        for (Reservation reservation : room.all()) {
            Integer percent = running.get(reservation.run());
            if (percent != null) {
                reservation.running(link.nowMillis());
                stalls.followProgress(reservation, percent, sentAtMillis);
                SpeedLearning.progressed(speed, reservation, percent, link.nowMillis());
            } else if (reservation.overIfAbsentAt(sentAtMillis)) {
                release(reservation, EndKind.LAPSED);
            }
        }
    }

    /**
     * Records that another life of the endpoint answers.
     *
     * <p>One that was leaving has ended as it said, and what ran there is not suspected of having crashed it.
     */
    private void lifeOver() {
        closed = true;
        boolean leftAsPlanned = retired || entry().draining();
        releaseAll(leftAsPlanned ? EndKind.LAPSED : EndKind.CRASHED);
        if (!leftAsPlanned) {
            lapsedInSilence.forEach(task -> events.crashed(this, task));
        }
        lapsedInSilence.clear();
    }

    /** Releases what runs on a silent endpoint as soon as its lease has certainly run out. */
    private void lapseIfOver() {
        boolean isOver = link.nowMillis() >= link.leaseOverAtMillis();
        if (!closed && poller.silent() && !room.isEmpty() && isOver) {
            room.all().forEach(reservation -> lapsedInSilence.add(reservation.task()));
            releaseAll(EndKind.LAPSED);
        }
    }

    private void releaseAll(EndKind kind) {
        room.all().forEach(reservation -> release(reservation, kind));
    }

    private void release(Reservation reservation, EndKind kind) {
        room.release(reservation);
        events.ended(this, reservation, kind);
    }

    private static ImmutableMap<TaskRun, Integer> percentByRun(Iterable<RunProgress> listed) {
        ImmutableMap.Builder<TaskRun, Integer> percentByRun = ImmutableMap.builder();
        listed.forEach(each -> percentByRun.put(each.run(), each.percent()));
        return percentByRun.buildKeepingLast();
    }

    /** What this endpoint does for its parts. */
    private final class Host implements RunListPoller.Host, RunOrders.Host, RecoveredRuns.Host {
        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public boolean anyReserved() {
            return !room.isEmpty();
        }

        @Override
        public boolean anyRecovered() {
            return !recovered.isEmpty();
        }

        @Override
        public void ended(TaskEnd end, boolean firstList) {
            recovered.remove(end.run());
            Optional<Reservation> reservation = room.of(end.run());
            if (reservation.isPresent()) {
                release(reservation.get(), end.kind());
            } else if (firstList && end.kind() == EndKind.DONE) {
                recovered.doneBefore(end.run().task());
            }
        }

        @Override
        public void listed(Iterable<RunProgress> listed, long sentAtMillis, boolean firstList, boolean wasSilent) {
            ImmutableMap<TaskRun, Integer> running = percentByRun(listed);
            lapsedInSilence.clear();
            endOthers(running, sentAtMillis);
            recovered.listed(Sets.filter(running.keySet(), run -> room.of(run).isEmpty()), firstList);
            if (firstList) {
                events.firstListed(HeldEndpoint.this);
            }
            if (wasSilent || firstList || recovered.isEmpty()) {
                events.usable(HeldEndpoint.this);
            }
        }

        @Override
        public void unanswered() {
            lapseIfOver();
            if (!room.isEmpty()) {
                long left = link.leaseOverAtMillis() - link.nowMillis();
                link.timers().after(left, HeldEndpoint.this::lapseIfOver);
            }
        }

        @Override
        public void fenced() {
            events.fenced(HeldEndpoint.this);
        }

        @Override
        public void lifeOver() {
            HeldEndpoint.this.lifeOver();
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
            health.eject(link.nowMillis(), millis);
        }

        @Override
        public void stop(TaskRun run, boolean fresh, Consumer<OrderAnswer> reply) {
            link.stop(run, fresh, reply);
        }

        @Override
        public void pollIfIdle() {
            poller.pollIfIdle();
        }
    }
}
