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

/** A model of an endpoint with fencing tokens, a lease and a list of ended runs; it can hang, fail or be slow. */
final class ModelEndpoint {
    private static final long LEASE_MILLIS = 1_000;

    /** Users report that a stop takes up to 50 ms; most take about half of that. */
    private static final long STOP_MILLIS = 25;

    private static final double FAILING_RUN_MILLIS = 5;

    /** The highest progress reported for a run that has not ended. */
    private static final double MAX_PERCENT_RUNNING = 99;

    private final VirtualTime time;
    private final EndpointEntry entry;
    private final int domain;
    private final TaskProfiles taskProfiles;
    private final Map<TaskRun, Long> running = new LinkedHashMap<>();
    private final Map<TaskRun, RunStart> runStarts = new HashMap<>();
    private final Map<TaskName, Integer> highestEndedRun = new HashMap<>();
    private final List<TaskEnd> ends = new ArrayList<>();
    private final List<Runnable> waitingPolls = new ArrayList<>();
    private double speed;
    private boolean hanging;
    private boolean failing;
    private long token;
    private long lastEnd;
    private long leaseUntil;
    private long usedMilliCores;
    private int overcommitCount;

    ModelEndpoint(VirtualTime time, EndpointEntry entry, int domain, double speed, TaskProfiles taskProfiles) {
        this.time = time;
        this.entry = entry;
        this.domain = domain;
        this.speed = speed;
        this.taskProfiles = taskProfiles;
    }

    EndpointEntry entry() {
        return entry;
    }

    int domain() {
        return domain;
    }

    /** Returns how many runs were started beyond the capacity. */
    int overcommitCount() {
        return overcommitCount;
    }

    void setHanging(boolean hangs) {
        hanging = hangs;
    }

    void setFailing(boolean fails) {
        failing = fails;
    }

    void multiplySpeed(double factor) {
        speed *= factor;
    }

    OrderAnswer start(StartOrder order) {
        OrderResult result = checkStart(order);
        if (result == OrderResult.DONE && !running.containsKey(order.run())) {
            extendLease(order.leaseUntilMillis());
            long milliCores = taskProfiles.milliCores(order.run().task());
            running.put(order.run(), milliCores);
            usedMilliCores += milliCores;
            if (usedMilliCores > entry.capacity().milliCores()) {
                overcommitCount++;
            }
            begin(order.run());
        }
        return answer(result);
    }

    private void begin(TaskRun run) {
        if (hanging) {
            runStarts.put(run, new RunStart(time.nowNanos(), Double.POSITIVE_INFINITY));
            return;
        }
        double millis = failing ? FAILING_RUN_MILLIS : taskProfiles.runMillis(run.task()) / speed;
        EndKind kind = failing ? EndKind.FAILED : EndKind.DONE;
        runStarts.put(run, new RunStart(time.nowNanos(), millis));
        after(millis, () -> end(run, kind));
    }

    OrderAnswer stop(FencingToken by, TaskRun run) {
        if (by.value() < token) {
            return answer(OrderResult.FENCED);
        }
        highestEndedRun.merge(run.task(), run.run(), Math::max);
        after(STOP_MILLIS, () -> end(run, EndKind.STOPPED));
        return answer(OrderResult.DONE);
    }

    /** Answers a poll: at once if a run has ended, or else when one ends or the wait is over. */
    void poll(PollOrder order, Consumer<PollAnswer> reply) {
        if (order.token().value() < token) {
            reply.accept(PollAnswer.failed(OrderResult.FENCED));
            return;
        }
        token = order.token().value();
        ends.removeIf(end -> end.number() <= order.acknowledgedEnd());
        order.leaseUntilMillis().ifPresent(this::extendLease);
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

    private OrderResult checkStart(StartOrder order) {
        if (order.token().value() < token) {
            return OrderResult.FENCED;
        }
        token = order.token().value();
        if (order.leaseUntilMillis() <= clock()) {
            return OrderResult.TOO_LATE;
        }
        boolean old =
                order.run().run() <= highestEndedRun.getOrDefault(order.run().task(), 0);
        return old ? OrderResult.OLD_RUN : OrderResult.DONE;
    }

    private void extendLease(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + LEASE_MILLIS));
        after(leaseUntil - clock(), this::endRunsIfLeaseExpired);
    }

    private void endRunsIfLeaseExpired() {
        if (clock() >= leaseUntil) {
            ImmutableList.copyOf(running.keySet()).forEach(run -> end(run, EndKind.LAPSED));
        }
    }

    private void end(TaskRun run, EndKind kind) {
        Long milliCores = running.remove(run);
        runStarts.remove(run);
        if (milliCores == null) {
            return;
        }
        usedMilliCores -= milliCores;
        highestEndedRun.merge(run.task(), run.run(), Math::max);
        lastEnd++;
        ends.add(new TaskEnd(lastEnd, run, kind));
        List<Runnable> polls = new ArrayList<>(waitingPolls);
        waitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    private RunProgress progress(TaskRun run) {
        RunStart runStart = runStarts.get(run);
        double ran = time.nowNanos() - runStart.atNanos();
        double whole = runStart.millis() * TimeUnit.MILLISECONDS.toNanos(1);
        return new RunProgress(run, (int) Math.min(MAX_PERCENT_RUNNING, ran * 100 / whole));
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
        time.runAfter(Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1)), task);
    }

    /**
     * The start time and the duration of a run.
     *
     * @param atNanos the start time
     * @param millis the run time; infinite if the task hangs
     */
    private record RunStart(long atNanos, double millis) {}

    /** The actual run times and capacity needs of tasks, which nodes do not know. */
    interface TaskProfiles {
        /** Returns the run time at speed 1. */
        double runMillis(TaskName task);

        /** Returns the capacity that a run takes. */
        long milliCores(TaskName task);
    }
}
