package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskEnd;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** An endpoint that follows the protocol: it obeys the highest token, keeps runs under a lease and lists ends. */
public final class FakeEndpoint {
    private static final long LONGEST_LEASE_MILLIS = 1_000;
    private static final long STOP_MILLIS = 30;

    /** The time in which a holder detects a restart: a waiting poll and the next one, each a round trip. */
    private static final long DETECTION_MILLIS = 4;

    private final VirtualTimers timers;
    private final Ledger ledger;
    private long capacity;
    private final Map<TaskRun, Long> running = new LinkedHashMap<>();
    private final Map<TaskName, Integer> overUpTo = new HashMap<>();
    private final List<TaskEnd> ends = new ArrayList<>();
    private final List<Runnable> waitingPolls = new ArrayList<>();
    private long token;
    private long lastEnd;
    private long leaseUntil;
    EndKind outcome = EndKind.DONE;
    private Function<TaskRun, EndKind> outcomeOf = run -> outcome;
    long runMillis = 60;
    ToLongFunction<TaskRun> runMillisOf = run -> runMillis;
    boolean stalls;
    boolean reportsNoProgress;
    private final Map<TaskRun, Long> startedAt = new HashMap<>();
    private boolean hasOtherId;
    private boolean readsOrders = true;
    final FakeClock clock;
    private long startedMillis;
    private int restarts;
    private long restartedAtMillis = Long.MIN_VALUE / 2;
    private int started;

    /**
     * Creates an idle endpoint.
     *
     * @param capacity the processor time of the endpoint, in thousandths of a core
     */
    public FakeEndpoint(VirtualTimers timers, Ledger ledger, long capacity) {
        this.timers = timers;
        this.ledger = ledger;
        this.capacity = capacity;
        this.clock = new FakeClock(timers);
    }

    /** Sets the run time of tasks that start from now on, in milliseconds. */
    public void setRunMillis(long millis) {
        runMillis = millis;
    }

    /** Sets the run time of each run that starts from now on, in milliseconds, and how it ends after that time. */
    public void setRuns(ToLongFunction<TaskRun> millis, Function<TaskRun, EndKind> ends) {
        runMillisOf = millis;
        outcomeOf = ends;
    }

    /** Returns how many runs were ever started. */
    int started() {
        return started;
    }

    /** Returns how many runs are in progress. */
    public int running() {
        return running.size();
    }

    /** Returns the runs in progress. */
    public ImmutableList<TaskRun> runs() {
        return ImmutableList.copyOf(running.keySet());
    }

    /** Ends all runs; from now on an endpoint with another id answers. */
    public void crash() {
        hasOtherId = true;
        crashRuns();
        List<Runnable> polls = new ArrayList<>(waitingPolls);
        waitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    /** Returns whether the endpoint restarted so recently that a holder may not have sent any stop to it yet. */
    boolean hasJustRestarted() {
        return timers.nowMillis() - restartedAtMillis <= DETECTION_MILLIS;
    }

    /** Returns the start time that is reported; 0 if none is. */
    public long startedMillis() {
        return startedMillis;
    }

    /** Makes the endpoint report a start time in its lists from now on. */
    public void reportStart(long millis) {
        startedMillis = millis;
    }

    /** Makes the endpoint refuse every start from now on as one that it cannot read, or read them again. */
    void setCanReadOrders(boolean canRead) {
        readsOrders = canRead;
    }

    /** Changes the capacity; runs in progress continue. */
    void resize(long milliCores) {
        capacity = milliCores;
    }

    /** Ends all runs; a new incarnation under the same id has no state of the old one, and its clock starts lower. */
    public void restart() {
        startedMillis++;
        restartWithSameStart();
    }

    /** Restarts like {@link #restart}, but the start time that is reported, or not reported, stays the same. */
    public void restartWithSameStart() {
        crashRuns();
        ends.clear();
        overUpTo.clear();
        token = 0;
        lastEnd = 0;
        leaseUntil = 0;
        restarts++;
        restartedAtMillis = timers.nowMillis();
        clock.set(5);
        List<Runnable> polls = new ArrayList<>(waitingPolls);
        waitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    private void crashRuns() {
        running.keySet().forEach(run -> {
            ledger.ended(run.task(), this);
            ledger.runs().ended(run, EndKind.CRASHED, this);
        });
        running.clear();
    }

    /** Runs a task after the given time unless the endpoint restarts before. */
    private void after(long millis, Runnable task) {
        int restartsNow = restarts;
        timers.schedule(millis, () -> {
            if (restarts == restartsNow) {
                task.run();
            }
        });
    }

    OrderAnswer start(StartOrder order, long milliCores) {
        return start(order, milliCores, capacity);
    }

    /**
     * Starts a run.
     *
     * @param limit the largest capacity that the sender could rely on, in thousandths of a core
     */
    OrderAnswer start(StartOrder order, long milliCores, long limit) {
        OrderResult result = startResult(order);
        if (result == OrderResult.DONE && !running.containsKey(order.run())) {
            extend(order.leaseUntilMillis());
            running.put(order.run(), milliCores);
            started++;
            startedAt.put(order.run(), timers.nowMillis());
            ledger.started(order.run().task(), this);
            ledger.runs().started(order.run(), order.token(), this);
            ledger.checkCapacity(
                    running.values().stream().mapToLong(Long::longValue).sum(), Math.max(limit, capacity));
            if (!stalls) {
                after(runMillisOf.applyAsLong(order.run()), () -> end(order.run(), outcomeOf.apply(order.run())));
            }
        }
        return answer(result);
    }

    OrderAnswer stop(FencingToken by, TaskRun run) {
        if (hasOtherId) {
            return answer(OrderResult.OTHER_ENDPOINT);
        }
        if (by.value() < token) {
            return answer(OrderResult.FENCED);
        }
        token = by.value();
        overUpTo.merge(run.task(), run.run(), Math::max);
        after(STOP_MILLIS, () -> end(run, EndKind.STOPPED));
        return answer(OrderResult.DONE);
    }

    /** Answers immediately if an end is listed or no wait is requested, otherwise at the next end or after the wait. */
    void poll(PollOrder order, Consumer<PollAnswer> reply) {
        if (hasOtherId || order.token().value() < token) {
            reply.accept(PollAnswer.failed(hasOtherId ? OrderResult.OTHER_ENDPOINT : OrderResult.FENCED));
            return;
        }
        token = order.token().value();
        ends.stream()
                .filter(end -> end.number() <= order.acknowledgedEnd())
                .forEach(end -> ledger.runs().acknowledged(end.run(), order.token(), this));
        ends.removeIf(end -> end.number() <= order.acknowledgedEnd());
        order.leaseUntilMillis().ifPresent(this::extend);
        if (!ends.isEmpty() || order.waitMillis() == 0) {
            reply.accept(lists());
            return;
        }
        boolean[] answered = {false};
        Runnable answer = () -> {
            if (!answered[0]) {
                answered[0] = true;
                reply.accept(hasOtherId ? PollAnswer.failed(OrderResult.OTHER_ENDPOINT) : lists());
            }
        };
        waitingPolls.add(answer);
        timers.schedule(order.waitMillis(), answer);
    }

    private OrderResult startResult(StartOrder order) {
        if (!readsOrders) {
            return OrderResult.UNREADABLE;
        }
        if (hasOtherId) {
            return OrderResult.OTHER_ENDPOINT;
        }
        if (order.token().value() < token) {
            return OrderResult.FENCED;
        }
        token = order.token().value();
        if (order.leaseUntilMillis() <= clock.nowMillis()) {
            return OrderResult.TOO_LATE;
        }
        boolean old = order.run().run() <= overUpTo.getOrDefault(order.run().task(), 0);
        return old ? OrderResult.OLD_RUN : OrderResult.DONE;
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock.nowMillis() + LONGEST_LEASE_MILLIS));
        after(clock.trueMillisUntil(leaseUntil), this::lapseIfOver);
    }

    private void lapseIfOver() {
        if (clock.nowMillis() >= leaseUntil) {
            ImmutableList.copyOf(running.keySet()).forEach(run -> end(run, EndKind.LAPSED));
        }
    }

    private void end(TaskRun run, EndKind kind) {
        if (running.remove(run) == null) {
            return;
        }
        ledger.ended(run.task(), this);
        ledger.runs().ended(run, kind, this);
        overUpTo.merge(run.task(), run.run(), Math::max);
        lastEnd++;
        ends.add(new TaskEnd(lastEnd, run, kind));
        List<Runnable> polls = new ArrayList<>(waitingPolls);
        waitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    private RunProgress progress(TaskRun run) {
        long ran = timers.nowMillis() - startedAt.get(run);
        return new RunProgress(
                run, stalls || reportsNoProgress ? 0 : (int) Math.min(99, ran * 100 / runMillisOf.applyAsLong(run)));
    }

    private PollAnswer lists() {
        return new PollAnswer(
                OrderResult.DONE,
                OptionalLong.of(clock.nowMillis()),
                running.keySet().stream().map(this::progress).collect(ImmutableList.toImmutableList()),
                ImmutableList.copyOf(ends),
                startedMillis);
    }

    private OrderAnswer answer(OrderResult result) {
        return new OrderAnswer(result, OptionalLong.of(clock.nowMillis()));
    }
}
