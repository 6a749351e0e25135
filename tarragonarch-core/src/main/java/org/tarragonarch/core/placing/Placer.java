package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * Places the tasks of jobs on the endpoints of the shards that this node holds, as one pool.
 *
 * <p>One thread calls every method, and every reply of the ports comes on it.
 */
public final class Placer {
    /** When to come back to a shard without endpoints: about what a takeover or a restart takes. */
    private static final long IMPOSSIBLE_RETRY_MILLIS = 1_000;

    /** How often a job that waits for earlier runs to end is looked at: a fraction of the time that a stop takes. */
    private static final long RECHECK_MILLIS = 10;

    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final PlacerListener listener;
    private final RunTimes runTimes;
    private final Predicate<FailureDomain> wholeList;
    private final Events events = new Events();
    private final Map<FailureDomain, PlacedShard> shards = new LinkedHashMap<>();
    private final Map<JobId, PlacedJob> jobs = new HashMap<>();
    private final JobLine line = new JobLine();
    private final Forecast forecast = new Forecast(endpoints(), line);
    private final EndingJobs ending = new EndingJobs();
    private final List<Offer> unsure = new ArrayList<>();
    private boolean fillPlanned;
    private boolean closed;

    /**
     * Creates a placer that holds no shard yet.
     *
     * @param runTimes what is known of run times; outlives this placer
     * @param wholeList tells whether a shard's list of endpoints can be taken for whole
     */
    public Placer(
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            PlacerListener listener,
            RunTimes runTimes,
            Predicate<FailureDomain> wholeList) {
        this.settings = checkNotNull(settings, "settings");
        this.orders = checkNotNull(orders, "orders");
        this.timers = checkNotNull(timers, "timers");
        this.listener = checkNotNull(listener, "listener");
        this.runTimes = checkNotNull(runTimes, "runTimes");
        this.wholeList = checkNotNull(wholeList, "wholeList");
    }

    /**
     * Adds a shard.
     *
     * @param token the token under which this node holds the shard's endpoints
     */
    public void open(FailureDomain shard, FencingToken token, Collection<EndpointEntry> listed) {
        checkState(!closed && !shards.containsKey(shard), "%s is open", shard);
        shards.put(shard, new PlacedShard(token, settings, orders, timers, events));
        update(shard, listed);
    }

    /** Returns the token under which this node holds the shard, if it does. */
    public Optional<FencingToken> token(FailureDomain shard) {
        return Optional.ofNullable(shards.get(shard)).map(PlacedShard::token);
    }

    /** Returns the shards that are held. */
    public ImmutableSet<FailureDomain> shards() {
        return ImmutableSet.copyOf(shards.keySet());
    }

    /** Takes in the list of a shard's endpoints. */
    public void update(FailureDomain shard, Collection<EndpointEntry> listed) {
        shards.get(shard).update(listed);
        planFill();
    }

    /**
     * Lets go of one shard. What runs there is not renewed any more, and starts elsewhere when its lease has certainly
     * run out; without another shard the whole placer closes, and its jobs are given back.
     */
    public void letGo(FailureDomain shard) {
        if (shards.keySet().equals(Set.of(shard))) {
            close();
            return;
        }
        PlacedShard gone = shards.remove(shard);
        if (gone != null) {
            gone.abandon();
            planFill();
        }
    }

    /**
     * Takes a job, or declines it at once.
     *
     * <p>A job that is known already was sent again by its client; it goes on, and its new asker gets the verdict.
     */
    public void offer(Offer offer) {
        PlacedJob known = jobs.get(offer.job().id());
        if (known != null) {
            known.askedBy(offer.asker());
            return;
        }
        if (ending.defer(offer, timers.nowMillis())) {
            return;
        }
        if (!offer.earlierRuns().over() && !readyFor(offer)) {
            wait(offer);
            return;
        }
        take(offer, 1);
    }

    /**
     * Ends a job whose client has left or cancelled it; nothing is said of it any more.
     *
     * <p>Also where the job still waits for earlier runs to end: it would be started for nobody.
     */
    public void withdraw(NodeId asker, JobId id) {
        unsure.removeIf(offer -> offer.asker().equals(asker) && offer.job().id().equals(id));
        ending.withdraw(asker, id);
        PlacedJob job = jobs.get(id);
        if (job != null && job.asker().equals(asker)) {
            end(job);
            planFill();
        }
    }

    /**
     * Ends every job of a node that is gone.
     *
     * <p>Guards against a job that its client sends again, to another node, while it still runs here: the node's death
     * breaks the client's connection, and the client comes back after its pause.
     */
    public void askerGone(NodeId asker) {
        unsure.removeIf(offer -> offer.asker().equals(asker));
        ending.askerGone(asker);
        for (PlacedJob job : ImmutableList.copyOf(jobs.values())) {
            if (job.asker().equals(asker)) {
                end(job);
            }
        }
        planFill();
    }

    /** Looks for runs that stand still; to be called a few times a second. */
    public void review() {
        endpoints().forEach(HeldEndpoint::restartStuck);
        planFill();
    }

    /** Lets go of every shard. What runs is left to the next holder, or to its lease. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        shards.values().forEach(PlacedShard::close);
        shards.clear();
        for (PlacedJob job : ImmutableList.copyOf(jobs.values())) {
            jobs.remove(job.id());
            listener.settled(job.asker(), job.id(), Verdict.HOLD_LOST, 0);
        }
        for (Offer offer : ImmutableList.copyOf(unsure)) {
            listener.settled(offer.asker(), offer.job().id(), Verdict.HOLD_LOST, 0);
        }
        unsure.clear();
    }

    /** Returns the processor time that is free in a shard on endpoints that take tasks, in thousandths of a core. */
    public long freeMilliCores(FailureDomain shard) {
        PlacedShard held = shards.get(shard);
        return held == null ? 0 : held.freeMilliCores();
    }

    /** Returns whether no endpoint of the shard has answered although this node has asked them for long enough. */
    public boolean outOfReach(FailureDomain shard) {
        PlacedShard held = shards.get(shard);
        return held != null && held.outOfReach();
    }

    /**
     * Guards against a task that runs twice after its shard changed hands: the lost holder's runs show on the
     * endpoints' lists, and are over when each list was read under this holder's token and cleared. How long this
     * holder has had the shard says nothing: while a domain was cut off, the other may have gone on there. Nor does
     * what it holds now if the shard is not part of it, as when it has let go of it since the job was offered.
     */
    private boolean readyFor(Offer offer) {
        Set<FailureDomain> wanted = offer.earlierRuns().shards();
        JobId job = offer.job().id();
        return shards.keySet().containsAll(wanted)
                && wanted.stream().allMatch(wholeList)
                && wanted.stream().allMatch(shard -> shards.get(shard).readyFor(job));
    }

    private Iterable<HeldEndpoint> endpoints() {
        return Iterables.concat(Iterables.transform(shards.values(), PlacedShard::endpoints));
    }

    private void wait(Offer offer) {
        long since = timers.nowMillis();
        unsure.add(offer);
        timers.after(RECHECK_MILLIS, () -> {
            if (unsure.remove(offer) && !closed) {
                offer(offer.later(timers.nowMillis() - since));
            }
        });
    }

    private void take(Offer offer, int firstRun) {
        long now = timers.nowMillis();
        long expected =
                runTimes.expectedMillis(offer.queue().name(), offer.job().step().estimateMillis());
        PlacedJob job = new PlacedJob(offer, firstRun, expected, JobTimes.of(offer, expected, now));
        if (!offer.earlierRuns().over()) {
            endpoints().forEach(endpoint -> endpoint.takeOver(job));
        }
        if (job.begunBefore()) {
            goOn(job);
            return;
        }
        Outlook outlook = forecast.of(job, now);
        if (!outlook.worthTaking()) {
            listener.declined(offer.asker(), job.id(), outlook);
            long retry = outlook.places() == 0 ? IMPOSSIBLE_RETRY_MILLIS : outlook.waitMillis();
            listener.settled(offer.asker(), job.id(), Verdict.DECLINED, retry);
            return;
        }
        jobs.put(job.id(), job);
        line.add(job);
        fill();
    }

    /**
     * Goes on with a job of which an earlier holder's runs were taken over; it is finished, however late.
     *
     * <p>Buys what a holder's loss would throw away otherwise: all that runs on its endpoints, some 75 tasks on the
     * pools measured, most of whose callers would be answered late.
     */
    private void goOn(PlacedJob job) {
        jobs.put(job.id(), job);
        if (job.allFinished()) {
            settle(job, Verdict.DONE);
            return;
        }
        line.add(job);
        planFill();
    }

    private void planFill() {
        if (!fillPlanned && !closed) {
            fillPlanned = true;
            timers.after(0, this::fill);
        }
    }

    private void fill() {
        fillPlanned = false;
        if (closed) {
            return;
        }
        long now = timers.nowMillis();
        long roomiest = roomiestMilliCores(now);
        List<PlacedJob> overdue = new ArrayList<>();
        for (PlacedJob job : line.inOrder()) {
            if (job.hopelessAt(now)) {
                giveUp(job, now);
            } else if (job.overdueAt(now)) {
                overdue.add(job);
            } else {
                roomiest = startIfRoom(job, now, roomiest);
            }
        }
        for (PlacedJob job : overdue) {
            roomiest = startIfRoom(job, now, roomiest);
        }
    }

    /** Gives up a job whose answer would come too late; what never started is declined, for that is the truth. */
    private void giveUp(PlacedJob job, long now) {
        if (job.everStarted()) {
            settle(job, Verdict.TOO_LATE);
        } else {
            listener.declined(job.asker(), job.id(), forecast.of(job, now));
            settle(job, Verdict.DECLINED);
        }
    }

    /**
     * Starts what fits of a job.
     *
     * @param roomiest the most processor time that one endpoint has free; most of a long line needs no closer look
     * @return the same after what was started
     */
    private long startIfRoom(PlacedJob job, long now, long roomiest) {
        if (job.over() || job.need().milliCores() > roomiest) {
            return roomiest;
        }
        long waitingBefore = job.waitingTasks();
        if (startWaiting(job, now)) {
            line.remove(job);
        }
        return job.waitingTasks() == waitingBefore ? roomiest : roomiestMilliCores(now);
    }

    /** Returns the most processor time that is free on one endpoint that takes tasks, in thousandths of a core. */
    private long roomiestMilliCores(long now) {
        long roomiest = 0;
        for (PlacedShard shard : shards.values()) {
            roomiest = Math.max(roomiest, shard.roomiestMilliCores(now));
        }
        return roomiest;
    }

    /** Starts what fits; returns whether nothing of the job waits any more. */
    private boolean startWaiting(PlacedJob job, long now) {
        for (PlacedTask task : job.tasks()) {
            if (!task.waiting()) {
                continue;
            }
            Optional<HeldEndpoint> endpoint = EndpointChoice.choose(endpoints(), task, now);
            if (endpoint.isEmpty()) {
                return false;
            }
            endpoint.get().start(task, task.takeRun(), job.need());
        }
        return true;
    }

    private void settle(PlacedJob job, Verdict verdict) {
        end(job);
        listener.settled(job.asker(), job.id(), verdict, 0);
    }

    private void end(PlacedJob job) {
        jobs.remove(job.id());
        line.remove(job);
        job.end();
        ending.add(job);
    }

    private void roomGone(PlacedJob job) {
        if (job.over()) {
            ending.removeIfOver(job)
                    .ifPresent(deferred -> take(deferred.offerAt(timers.nowMillis()), job.lastRun() + 1));
        }
        planFill();
    }

    /** Takes what endpoints tell. */
    private final class Events implements EndpointEvents {
        @Override
        public void ended(HeldEndpoint endpoint, Reservation reservation, EndKind kind) {
            if (closed) {
                return;
            }
            PlacedTask task = reservation.task();
            PlacedJob job = task.job();
            if (kind.ownEnd()) {
                judge(endpoint, kind);
            }
            if (kind != EndKind.DONE && !job.over()) {
                EndpointEntry entry = endpoint.entry();
                listener.runEndedBadly(entry.domain(), reservation.run(), entry.id(), kind);
            }
            if (!task.holds(reservation)) {
                return;
            }
            if (job.over()) {
                task.back();
            } else if (kind == EndKind.DONE) {
                learn(reservation);
                if (job.finished(task)) {
                    settle(job, Verdict.DONE);
                }
            } else if (kind.countsAsAttempt()) {
                task.failed(endpoint.entry().id());
                again(job, task);
            } else {
                task.back();
                again(job, task);
            }
            roomGone(job);
        }

        @Override
        public void refused(HeldEndpoint endpoint, Reservation reservation) {
            takeBack(reservation);
        }

        @Override
        public void refusedAsOld(HeldEndpoint endpoint, Reservation reservation) {
            reservation.task().skipOldRuns();
            takeBack(reservation);
        }

        @Override
        public void unreadable(HeldEndpoint endpoint, Reservation reservation) {
            PlacedJob job = reservation.task().job();
            reservation.task().back();
            if (!job.over()) {
                settle(job, Verdict.FAILED);
            }
            roomGone(job);
        }

        @Override
        public void usable(HeldEndpoint endpoint) {
            planFill();
        }

        @Override
        public void outranked(HeldEndpoint endpoint) {
            FailureDomain shard = endpoint.entry().domain();
            token(shard).ifPresent(token -> {
                letGo(shard);
                listener.outranked(shard, token);
            });
        }

        /** Learns from a run whose start was seen. */
        private void learn(Reservation reservation) {
            if (!reservation.takenOver()) {
                PlacedJob job = reservation.task().job();
                long ran = timers.nowMillis() - reservation.startedAtMillis();
                runTimes.ran(job.queue().name(), job.step().estimateMillis(), ran);
            }
        }

        private void judge(HeldEndpoint endpoint, EndKind kind) {
            if (kind == EndKind.DONE) {
                endpoint.goodRun();
            } else {
                endpoint.badRun();
            }
        }

        private void takeBack(Reservation reservation) {
            PlacedTask task = reservation.task();
            if (task.holds(reservation)) {
                task.back();
                if (!task.job().over()) {
                    line.add(task.job());
                }
                roomGone(task.job());
            }
        }

        private void again(PlacedJob job, PlacedTask task) {
            if (task.failures() >= job.queue().attempts()) {
                settle(job, Verdict.FAILED);
            } else {
                line.add(job);
            }
        }
    }
}
