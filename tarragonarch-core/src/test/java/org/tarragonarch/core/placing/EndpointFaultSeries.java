package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;

/**
 * Two pools of two endpoints, their holders and one origin of jobs, under faults that are drawn from a seed.
 *
 * <p>The origin keeps the promises of real ones: a job that a client has left is withdrawn, and offered again anywhere
 * once the client has come again; a job whose holder is lost is offered to the successor at once, and elsewhere only
 * once the lost holder's runs are over.
 */
final class EndpointFaultSeries {
    private static final int POOLS = 2;
    private static final int ENDPOINTS_PER_POOL = 2;
    private static final int FAULTS_MILLIS = 4_000;
    private static final int STEPS = 60;

    /** Longer than late orders, leases and every wait for them. */
    private static final long AFTERMATH_MILLIS = 75_000;

    private static final long REVIEW_MILLIS = 100;

    /** The time after which a client that has left comes again. */
    private static final long CLIENT_ABSENT_MILLIS = 1_300;

    /** The longest time from the origin's loss of a holder to the end of the job at that holder. */
    private static final int LOSS_SKEW_MILLIS = 300;

    private static final PlacingSettings SETTINGS = PlacingSettings.of(1_000, 50);
    private static final long LEASE_EXPIRY_MILLIS = SETTINGS.leaseExpiry();
    private static final long RUNS_OVER_MILLIS = LOSS_SKEW_MILLIS + LEASE_EXPIRY_MILLIS;
    private static final NodeId ORIGIN = PlacerFixture.ORIGIN;

    private final Ledger ledger = new Ledger();
    private final VirtualTimers timers = new VirtualTimers();
    private final Random random;
    private final ImmutableList<FaultEvent> events;
    private final boolean ordersFail;
    private final FaultyOrders orders;
    private final List<Pool> pools = new ArrayList<>();
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private final List<String> trace = new ArrayList<>();
    private int lastJob;
    private int lastEndpoint;

    /**
     * Creates a series.
     *
     * @param events what may happen
     * @param ordersFail whether orders may be lost, late or unanswered
     */
    EndpointFaultSeries(int seed, Set<FaultEvent> events, boolean ordersFail) {
        this.random = new Random(seed);
        this.events = ImmutableList.copyOf(events);
        this.ordersFail = ordersFail;
        this.orders = new FaultyOrders(timers, random, PlacerFixture.TASK_MILLI_CORES, this::trace);
        for (int number = 0; number < POOLS; number++) {
            pools.add(new Pool(number));
        }
    }

    private void trace(String text) {
        trace.add(timers.nowMillis() + " " + text);
    }

    /** Returns what happened, in order. */
    ImmutableList<String> trace() {
        return ImmutableList.copyOf(trace);
    }

    /** Plays the series and returns what was wrong. */
    ImmutableList<String> play() {
        timers.advance(50);
        timers.schedule(0, this::review);
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(3) == 0) {
                submitNew();
            } else if (ordersFail && random.nextInt(3) == 0) {
                failOrders();
            } else if (!events.isEmpty()) {
                occur(events.get(random.nextInt(events.size())));
            }
            advance(random.nextInt(2 * FAULTS_MILLIS / STEPS));
        }
        trace("faults end");
        orders.sites.values().forEach(site -> site.faults.clear());
        advance(AFTERMATH_MILLIS);
        ImmutableList.Builder<String> wrong = ImmutableList.<String>builder().addAll(ledger.violations());
        jobs.values().stream().filter(Job::isOpen).forEach(job -> wrong.add("not settled: " + job.id));
        return wrong.build();
    }

    private void advance(long millis) {
        int known = ledger.violations().size();
        for (long passed = 0; passed < millis; passed++) {
            timers.advance(1);
            for (; known < ledger.violations().size(); known++) {
                trace("WRONG: " + ledger.violations().get(known));
            }
        }
    }

    private void review() {
        for (Pool pool : pools) {
            pool.holder.placer.review();
            pool.holder.placer.messageReceivedFrom(ORIGIN);
        }
        timers.schedule(REVIEW_MILLIS, this::review);
    }

    private void failOrders() {
        List<FaultyOrders.Site> sites = ImmutableList.copyOf(orders.sites.values());
        FaultyOrders.Site site = sites.get(random.nextInt(sites.size()));
        FaultyOrders.Fault fault = draw(FaultyOrders.Fault.values());
        site.longestDelayMillis = draw(20L, 200L, 2_000L, 12_000L);
        boolean all = random.nextInt(3) == 0;
        FaultyOrders.Kind one = draw(FaultyOrders.Kind.values());
        for (FaultyOrders.Kind kind : FaultyOrders.Kind.values()) {
            if (all || kind == one) {
                site.faults.put(kind, fault);
                timers.schedule(draw(50L, 300L, 1_500L, 2_500L), () -> site.faults.remove(kind, fault));
            }
        }
        trace("fault " + fault + " of " + (all ? "all" : one) + " at " + site.id);
    }

    private void occur(FaultEvent event) {
        Pool pool = pools.get(random.nextInt(POOLS));
        int index = random.nextInt(ENDPOINTS_PER_POOL);
        switch (event) {
            case CLIENT_LEAVES -> leave();
            case RESTART, RESTART_WITHOUT_START -> pool.restart(index);
            case RESTART_UNDER_OTHER_ID -> pool.replace(index);
            case RESIZE -> pool.resize(index, draw(7_000L, 8_000L, 16_000L, 24_000L));
            case CLAIM -> {
                if (random.nextInt(4) == 0) {
                    pool.claim();
                }
            }
            default -> throw new AssertionError(event);
        }
    }

    @SafeVarargs
    private <T> T draw(T... values) {
        return values[random.nextInt(values.length)];
    }

    private void submitNew() {
        lastJob++;
        Job job = new Job(lastJob, 1 + random.nextInt(2), random.nextBoolean() ? 3_000 : 60_000);
        jobs.put(job.id, job);
        job.offer(draw(pools.get(0), pools.get(1)).holder, EarlierRuns.NONE);
    }

    private void leave() {
        List<Job> open = jobs.values().stream().filter(Job::isOpen).toList();
        if (!open.isEmpty()) {
            open.get(random.nextInt(open.size())).leave();
        }
    }

    /** A job and where its origin has offered it. */
    private final class Job {
        private final JobId id;
        private final int tasks;
        private final long deadlineMillis;
        private Optional<Holder> holder = Optional.empty();
        private boolean over;
        private int attempt;

        Job(int number, int tasks, long deadlineMillis) {
            this.id = PlacerFixture.id(number);
            this.tasks = tasks;
            this.deadlineMillis = deadlineMillis;
        }

        boolean isOpen() {
            return !over;
        }

        void offer(Holder to, EarlierRuns earlier) {
            trace("job " + id + " offered to " + to.token + " earlier " + earlier);
            holder = Optional.of(to);
            attempt++;
            Offer template = PlacerFixture.patientOffer(1, tasks, 60);
            JobRequest request = new JobRequest(
                    id, "x", new TaskStep(tasks, new Resources(PlacerFixture.TASK_MILLI_CORES, 64, 0), 60));
            to.placer.offer(new Offer(request, template.queue(), ORIGIN, 0, deadlineMillis, earlier));
        }

        /** The client leaves, and comes again through any node. */
        void leave() {
            trace("job " + id + " left");
            attempt++;
            over = true;
            Optional<Holder> left = holder;
            holder = Optional.empty();
            timers.schedule(random.nextInt(20), () -> left.ifPresent(each -> each.placer.withdraw(ORIGIN, id)));
            timers.schedule(CLIENT_ABSENT_MILLIS, () -> {
                over = false;
                offer(draw(pools.get(0), pools.get(1)).holder, EarlierRuns.NONE);
            });
        }

        void settled(Holder by, Verdict verdict) {
            if (holder.filter(each -> each == by).isEmpty()) {
                return;
            }
            trace("job " + id + " " + verdict + " by " + by.token);
            switch (verdict) {
                case HOLD_LOST -> lost(by.pool);
                case RETURNED, EVICTED -> {
                    holder = Optional.empty();
                    again(1, draw(pools.get(0), pools.get(1)));
                }
                default -> {
                    holder = Optional.empty();
                    over = true;
                }
            }
        }

        private void again(long afterMillis, Pool pool) {
            int planned = ++attempt;
            timers.schedule(afterMillis, () -> {
                if (planned == attempt && !over) {
                    offer(pool.holder, EarlierRuns.NONE);
                }
            });
        }

        /** The holder is lost: the job goes to the successor at once, or anywhere once its runs are over. */
        void lost(Pool pool) {
            holder = Optional.empty();
            if (random.nextInt(4) == 0) {
                again(RUNS_OVER_MILLIS, draw(pools.get(0), pools.get(1)));
                return;
            }
            int planned = ++attempt;
            long lostAt = timers.nowMillis();
            timers.schedule(1 + random.nextInt(250), () -> {
                if (planned == attempt && !over) {
                    long left = Math.max(0, lostAt + RUNS_OVER_MILLIS - timers.nowMillis());
                    offer(pool.holder, new EarlierRuns(left, ImmutableSet.of(pool.shard)));
                }
            });
        }
    }

    /** A pool of endpoints that one node holds at a time. */
    private final class Pool {
        private final FailureDomain shard;
        private final boolean reportsStarts = !events.contains(FaultEvent.RESTART_WITHOUT_START)
                || events.contains(FaultEvent.RESTART) && random.nextBoolean();
        private final List<EndpointEntry> entries = new ArrayList<>();
        private final List<Holder> holders = new ArrayList<>();
        private Holder holder;
        private long lastStart = PlacerFixture.FIRST_START_MILLIS;

        Pool(int number) {
            this.shard = number == 0 ? PlacerFixture.SHARD : PlacerFixture.SECOND_SHARD;
            for (int index = 0; index < ENDPOINTS_PER_POOL; index++) {
                entries.add(newEndpoint(16_000));
            }
            openHolder();
        }

        private EndpointEntry newEndpoint(long capacity) {
            lastEndpoint++;
            EndpointId id = EndpointId.of("w-" + lastEndpoint);
            FakeEndpoint endpoint = new FakeEndpoint(timers, ledger, capacity);
            endpoint.runMillisOf =
                    run -> 20 + Math.floorMod(run.hashCode() * 31, 20) * Math.floorMod(run.hashCode(), 150);
            if (reportsStarts) {
                lastStart++;
                endpoint.reportStart(lastStart);
            }
            orders.add(id, endpoint, capacity);
            return new EndpointEntry(
                    new EndpointIncarnation(id, endpoint.startedMillis()),
                    "board",
                    new Address("10.0.0." + lastEndpoint, 80),
                    shard,
                    false,
                    new Resources(capacity, 32_768, 0),
                    false);
        }

        private void openHolder() {
            holder = new Holder(this, holders.size() + 1L);
            holders.add(holder);
            holder.placer.open(shard, holder.token, entries);
        }

        private FaultyOrders.Site site(int index) {
            return orders.sites.get(entries.get(index).id());
        }

        /** Replaces an entry and tells every holder. */
        private void update(EndpointEntry before, EndpointEntry now) {
            if (entries.contains(before)) {
                entries.set(entries.indexOf(before), now);
                holders.stream()
                        .filter(each -> each.placer.shards().contains(shard))
                        .forEach(each -> each.placer.update(shard, entries));
            }
        }

        void restart(int index) {
            trace(entries.get(index).id() + " restarts, start told: " + reportsStarts);
            FaultyOrders.Site site = site(index);
            site.restart(reportsStarts);
            EndpointId id = entries.get(index).id();
            if (reportsStarts) {
                timers.schedule(
                        random.nextInt(2_400),
                        () -> entries.stream()
                                .filter(each -> each.id().equals(id))
                                .findFirst()
                                .ifPresent(entry -> update(
                                        entry,
                                        entry.withIncarnation(
                                                new EndpointIncarnation(id, site.endpoint.startedMillis())))));
            }
        }

        void replace(int index) {
            EndpointEntry before = entries.get(index);
            trace(before.id() + " restarts under another id");
            site(index).endpoint.crash();
            EndpointEntry now = newEndpoint(before.capacity().milliCores());
            EndpointId id = before.id();
            timers.schedule(
                    random.nextInt(2_400),
                    () -> entries.stream()
                            .filter(each -> each.id().equals(id))
                            .findFirst()
                            .ifPresent(entry -> update(entry, now)));
        }

        void resize(int index, long capacity) {
            EndpointEntry before = entries.get(index);
            trace(before.id() + " has " + capacity);
            site(index).resize(timers.nowMillis(), capacity);
            EndpointEntry now = PlacerFixture.resized(before, new Resources(capacity, 32_768, 0))
                    .withIncarnation(new EndpointIncarnation(
                            before.id(), site(index).endpoint.startedMillis()));
            update(before, now);
        }

        void claim() {
            Holder lost = holder;
            trace("claim after " + lost.token);
            if (random.nextBoolean()) {
                openHolder();
                lost.placer.close();
            } else {
                openHolder();
                timers.schedule(random.nextInt(LOSS_SKEW_MILLIS), () -> lost.placer.originLost(ORIGIN));
                jobs.values().stream()
                        .filter(job -> job.holder.filter(each -> each == lost).isPresent())
                        .forEach(job -> job.lost(this));
            }
        }
    }

    /** One holder of a pool. */
    private final class Holder implements PlacerListener {
        private final Pool pool;
        private final FencingToken token;
        private final Placer placer;

        Holder(Pool pool, long term) {
            this.pool = pool;
            this.token = FencingToken.of(term, "10.1.0." + (1 + pools.size()));
            OriginAuthority authority = new UnlimitedAuthority();
            this.placer = new Placer(
                    SETTINGS, orders, timers, this, new RunTimes(), new RecentEnds(timers), authority, shard -> true);
        }

        @Override
        public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
            jobs.get(job).settled(this, verdict);
        }

        @Override
        public void recovered(NodeId origin, JobId job, RecoveryGround ground, long waitedMillis) {
            trace(token + " recovered " + job + ": " + ground);
        }

        @Override
        public void fenced(FailureDomain shard, FencingToken fenced) {
            trace(fenced + " fenced");
        }

        @Override
        public void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {
            trace(token + " sees restart of " + later);
            orders.sites.get(later.id()).known(token, later.startedMillis());
        }
    }
}
