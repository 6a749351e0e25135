package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
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

/** An endpoint: it obeys the highest token, keeps runs under a lease, lists ends, and may be slow or unhealthy. */
final class ModelEndpoint {
    private static final long LEASE_MILLIS = 1_000;

    /** A stop takes up to 50 ms by the users' figures; most take about half of it. */
    private static final long STOP_MILLIS = 25;

    private static final double FAILING_RUN_MILLIS = 5;

    /** A run that is not over yet is listed with less than everything done. */
    private static final double MOST_PERCENT_RUNNING = 99;

    private final VirtualTime time;
    private final EndpointEntry entry;
    private final int domain;
    private final RunDurations durations;
    private final Map<TaskRun, Long> running = new LinkedHashMap<>();
    private final Map<TaskRun, Beginning> begun = new HashMap<>();
    private final Map<TaskName, Integer> overUpTo = new HashMap<>();
    private final List<TaskEnd> ends = new ArrayList<>();
    private final List<Runnable> waitingPolls = new ArrayList<>();
    private double speed;
    private boolean hanging;
    private boolean failing;
    private long token;
    private long lastEnd;
    private long leaseUntil;
    private long usedMilliCores;
    private int overfilled;

    ModelEndpoint(VirtualTime time, EndpointEntry entry, int domain, double speed, RunDurations durations) {
        this.time = time;
        this.entry = entry;
        this.domain = domain;
        this.speed = speed;
        this.durations = durations;
    }

    EndpointEntry entry() {
        return entry;
    }

    int domain() {
        return domain;
    }

    /** Returns how often it was given more than it has room for. */
    int overfilled() {
        return overfilled;
    }

    void hang(boolean hangs) {
        hanging = hangs;
    }

    void fail(boolean fails) {
        failing = fails;
    }

    void slowDown(double factor) {
        speed *= factor;
    }

    OrderAnswer start(StartOrder order) {
        OrderResult result = startResult(order);
        if (result == OrderResult.DONE && !running.containsKey(order.run())) {
            extend(order.leaseUntilMillis());
            long milliCores = durations.milliCores(order.run().task());
            running.put(order.run(), milliCores);
            usedMilliCores += milliCores;
            if (usedMilliCores > entry.capacity().milliCores()) {
                overfilled++;
            }
            begin(order.run());
        }
        return answer(result);
    }

    private void begin(TaskRun run) {
        if (hanging) {
            begun.put(run, new Beginning(time.nowNanos(), Double.POSITIVE_INFINITY));
            return;
        }
        double millis = failing ? FAILING_RUN_MILLIS : durations.runMillis(run.task()) / speed;
        EndKind kind = failing ? EndKind.FAILED : EndKind.DONE;
        begun.put(run, new Beginning(time.nowNanos(), millis));
        after(millis, () -> end(run, kind));
    }

    OrderAnswer stop(FencingToken by, TaskRun run) {
        if (by.value() < token) {
            return answer(OrderResult.FENCED);
        }
        overUpTo.merge(run.task(), run.run(), Math::max);
        after(STOP_MILLIS, () -> end(run, EndKind.STOPPED));
        return answer(OrderResult.DONE);
    }

    /** Answers at once, or as soon as there is an end or the wait is over. */
    void poll(PollOrder order, Consumer<PollAnswer> reply) {
        if (order.token().value() < token) {
            reply.accept(PollAnswer.failed(OrderResult.FENCED));
            return;
        }
        token = order.token().value();
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
                reply.accept(lists());
            }
        };
        waitingPolls.add(answer);
        after(order.waitMillis(), answer);
    }

    private OrderResult startResult(StartOrder order) {
        if (order.token().value() < token) {
            return OrderResult.FENCED;
        }
        token = order.token().value();
        if (order.leaseUntilMillis() <= clock()) {
            return OrderResult.TOO_LATE;
        }
        boolean old = order.run().run() <= overUpTo.getOrDefault(order.run().task(), 0);
        return old ? OrderResult.OLD_RUN : OrderResult.DONE;
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + LEASE_MILLIS));
        after(leaseUntil - clock(), this::lapseIfOver);
    }

    private void lapseIfOver() {
        if (clock() >= leaseUntil) {
            ImmutableList.copyOf(running.keySet()).forEach(run -> end(run, EndKind.LAPSED));
        }
    }

    private void end(TaskRun run, EndKind kind) {
        Long milliCores = running.remove(run);
        begun.remove(run);
        if (milliCores == null) {
            return;
        }
        usedMilliCores -= milliCores;
        overUpTo.merge(run.task(), run.run(), Math::max);
        lastEnd++;
        ends.add(new TaskEnd(lastEnd, run, kind));
        List<Runnable> polls = new ArrayList<>(waitingPolls);
        waitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    private RunProgress progress(TaskRun run) {
        Beginning beginning = begun.get(run);
        double ran = time.nowNanos() - beginning.atNanos();
        double whole = beginning.millis() * TimeUnit.MILLISECONDS.toNanos(1);
        return new RunProgress(run, (int) Math.min(MOST_PERCENT_RUNNING, ran * 100 / whole));
    }

    private PollAnswer lists() {
        return new PollAnswer(
                OrderResult.DONE,
                OptionalLong.of(clock()),
                running.keySet().stream().map(this::progress).collect(ImmutableList.toImmutableList()),
                ImmutableList.copyOf(ends));
    }

    private OrderAnswer answer(OrderResult result) {
        return new OrderAnswer(result, OptionalLong.of(clock()));
    }

    private long clock() {
        return TimeUnit.NANOSECONDS.toMillis(time.nowNanos());
    }

    private void after(double millis, Runnable task) {
        time.after(Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1)), task);
    }

    /**
     * When a run began, and how long it takes.
     *
     * @param atNanos the time of the beginning
     * @param millis the whole run time; infinite where tasks stall
     */
    private record Beginning(long atNanos, double millis) {}

    /** What nobody but the endpoint knows of a task. */
    interface RunDurations {
        /** Returns how long it runs at ordinary speed. */
        double runMillis(TaskName task);

        /** Returns what it takes. */
        long milliCores(TaskName task);
    }
}
