package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.function.ToLongFunction;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.TaskName;

/** Holds what a client was told of its job, and the starts of its tasks, against how the runs really went. */
final class CrashChecks {
    /** The number of crashes after which starts of a task are counted. */
    private static final int CRASHES = 3;

    /** The number of starts after {@value #CRASHES} crashes that must not be reached. */
    private static final int STARTS_AFTER_CRASHES = 3;

    /** A holder that reaches an endpoint acknowledges an end within this time, in milliseconds. */
    private static final long READ_AT_ONCE_MILLIS = 100;

    /** The number of crashes under a task from which on it may be given up as their cause. */
    private static final int SUSPECTED_AFTER_CRASHES = 2;

    /** The time until the last fault is over and its consequences are known, in milliseconds. */
    private static final long CALM_AFTER_MILLIS = 6_000;

    private final CrashFixture fixture;
    private final RunHistory history;
    private final CrashClient client;
    private final long faultsEndMillis;
    private final ImmutableList.Builder<CrashViolation> found = ImmutableList.builder();

    /**
     * Creates the checks of one job.
     *
     * @param faultsEndMillis when the last fault began
     */
    CrashChecks(CrashFixture fixture, CrashClient client, long faultsEndMillis) {
        this.faultsEndMillis = faultsEndMillis;
        this.fixture = fixture;
        this.history = fixture.history;
        this.client = client;
    }

    /** Returns what was wrong with the job. */
    ImmutableList<CrashViolation> violations() {
        client.lateAnswers().forEach(late -> report(CrashRule.ANSWERS, "not answered in time: " + late));
        client.submissions().stream()
                .filter(submission -> submission.wasAnswered(JobOutcome.FAILED))
                .forEach(this::checkFailed);
        if (!client.isSatisfied()) {
            report(CrashRule.ANSWERS, "never answered");
        }
        checkSound();
        for (TaskName task : history.startedTasks(client.id())) {
            checkAttempts(task);
            checkCrashes(task);
        }
        return found.build();
    }

    private void checkSound() {
        boolean isSound = fixture.conduct(TaskName.of(client.id(), 0, 0)) == TaskConduct.SOUND;
        long crashes = history.startedTasks(client.id()).stream()
                .mapToLong(task -> history.countEnded(task, EndKind.CRASHED, Long.MAX_VALUE - 1))
                .max()
                .orElse(0);
        CrashClient.Submission last = Iterables.getLast(client.submissions());
        boolean isCalm = last.sentMillis() >= faultsEndMillis + CALM_AFTER_MILLIS;
        if (isSound && crashes < SUSPECTED_AFTER_CRASHES && isCalm && !last.wasAnswered(JobOutcome.DONE)) {
            report(CrashRule.SOUND_JOBS, "not done after " + crashes + " crashes under a task: " + last);
        }
    }

    private void report(CrashRule rule, String what) {
        found.add(new CrashViolation(rule, "job " + client.id() + ": " + what));
    }

    private void checkFailed(CrashClient.Submission submission) {
        long most = history.mostFailedRuns(client.id(), submission.repliedMillis());
        int fewest = client.fewestAttempts(submission.repliedMillis());
        if (most < fewest) {
            report(CrashRule.ANSWERS, "answered FAILED after " + most + " failed runs of a task, attempts " + fewest);
        }
    }

    /** Checks the starts of a task against the failed runs whose ends were acknowledged since the job was offered. */
    private void checkAttempts(TaskName task) {
        ImmutableList<RunExecution> runs = history.runsOf(task);
        for (RunExecution start : runs) {
            long offered = fixture.lastOfferMillis(client.id(), start.startedMillis());
            ImmutableList<RunExecution> known = runs.stream()
                    .filter(run -> run.startedMillis() >= offered)
                    .filter(run -> run.failedAndAcknowledged(start.startedMillis()))
                    .filter(run -> run.isAcknowledgedBy(start.token()))
                    .collect(ImmutableList.toImmutableList());
            long own = known.stream()
                    .filter(run -> run.token().equals(start.token()))
                    .count();
            checkAttempts(CrashRule.ATTEMPTS_OF_ALL_HOLDERS, start, known.size());
            checkAttempts(CrashRule.ATTEMPTS_READ_LATE, start, own);
            checkAttempts(
                    CrashRule.ATTEMPTS,
                    start,
                    known.stream().filter(run -> isReadInTime(run, runs)).count());
        }
    }

    /** Returns whether the holder that started a run read its end at once, and before the task started again. */
    private static boolean isReadInTime(RunExecution run, ImmutableList<RunExecution> runs) {
        int next = runs.indexOf(run) + 1;
        return run.isAcknowledgedBy(run.token())
                && run.isAcknowledgedWithin(READ_AT_ONCE_MILLIS)
                && (next == runs.size()
                        || run.failedAndAcknowledged(runs.get(next).startedMillis()));
    }

    private void checkAttempts(CrashRule rule, RunExecution start, long failed) {
        int attempts = client.mostAttempts(start.startedMillis());
        if (failed >= attempts) {
            report(rule, "started " + start.run() + " after " + failed + " failed runs, attempts " + attempts);
        }
    }

    private void checkCrashes(TaskName task) {
        if (fixture.conduct(task) != TaskConduct.CRASHES_ENDPOINTS) {
            return;
        }
        ImmutableSet<FencingToken> holders =
                history.runsOf(task).stream().map(RunExecution::token).collect(ImmutableSet.toImmutableSet());
        checkStarts(
                CrashRule.CRASHES_UNDER_ALL_HOLDERS,
                task,
                history.runsOf(task),
                "by all of " + holders.size() + " holders");
        for (FencingToken holder : holders) {
            ImmutableList<RunExecution> runs = history.runsOf(task).stream()
                    .filter(run -> run.token().equals(holder))
                    .collect(ImmutableList.toImmutableList());
            checkStarts(CrashRule.CRASHES, task, runs, "by " + holder);
        }
    }

    private void checkStarts(CrashRule rule, TaskName task, ImmutableList<RunExecution> runs, String by) {
        ToLongFunction<RunExecution> crashesBefore = start -> runs.stream()
                .filter(run -> run.endedAs(EndKind.CRASHED, start.startedMillis()))
                .count();
        long starts = runs.stream()
                .filter(start -> crashesBefore.applyAsLong(start) >= CRASHES)
                .count();
        if (starts >= STARTS_AFTER_CRASHES) {
            report(rule, "started " + task + " " + starts + " times after " + CRASHES + " crashes " + by);
        }
    }
}
