package org.tarragonarch.standin.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.MultimapBuilder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tarragonarch.adapter.standin.RunRecord;

/** Compares the answers that clients received with the runs that endpoints recorded. */
final class SoakChecks {
    /** An endpoint has 16 cores and each task takes 7, so that two fit. */
    private static final int TASKS_PER_ENDPOINT = 2;

    private final List<String> violations = new ArrayList<>();

    /**
     * Returns a description of every violated guarantee.
     *
     * @param runs the runs recorded by each endpoint
     * @param jobs all jobs sent by clients
     */
    static ImmutableList<String> violations(List<List<RunRecord>> runs, List<SentJob> jobs) {
        SoakChecks checks = new SoakChecks();
        runs.forEach(checks::checkCapacity);
        ListMultimap<String, RunRecord> byTask =
                MultimapBuilder.linkedHashKeys().arrayListValues().build();
        runs.forEach(ledger -> ledger.forEach(run -> byTask.put(run.task(), run)));
        byTask.asMap().values().forEach(ofTask -> checks.checkNoConcurrentRuns(List.copyOf(ofTask)));
        checks.checkSubmitted(byTask, jobs);
        jobs.forEach(job -> checks.checkAnswers(job, byTask));
        return ImmutableList.copyOf(checks.violations);
    }

    /** Checks that no task has two runs at the same time. */
    private void checkNoConcurrentRuns(List<RunRecord> ofTask) {
        List<RunRecord> inOrder = new ArrayList<>(ofTask);
        inOrder.sort(Comparator.comparingLong(RunRecord::startedAt));
        for (int i = 1; i < inOrder.size(); i++) {
            RunRecord earlier = inOrder.get(i - 1);
            RunRecord later = inOrder.get(i);
            if (later.startedAt() < earlier.endedAt()) {
                violations.add("concurrent runs of one task: " + earlier + " and " + later);
            }
        }
    }

    /** Checks that no endpoint runs more tasks than its capacity allows. */
    private void checkCapacity(List<RunRecord> ledger) {
        for (RunRecord run : ledger) {
            long concurrent = ledger.stream()
                    .filter(other -> other.startedAt() <= run.startedAt() && other.endedAt() > run.startedAt())
                    .count();
            if (concurrent > TASKS_PER_ENDPOINT) {
                violations.add("over capacity: " + concurrent + " tasks at the start of " + run);
            }
        }
    }

    /** Checks that every started task belongs to a job that a client sent. */
    private void checkSubmitted(ListMultimap<String, RunRecord> byTask, List<SentJob> jobs) {
        Map<String, SentJob> byId = jobs.stream().collect(Collectors.toMap(SentJob::id, Function.identity()));
        for (String task : byTask.keySet()) {
            String id = task.substring(0, task.indexOf('.'));
            int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
            if (!byId.containsKey(id) || index >= byId.get(id).tasks()) {
                violations.add("not submitted by any client: " + task);
            }
        }
    }

    /** Checks that no task of a refused job ran, and that every task of a done job was done before the answer. */
    private void checkAnswers(SentJob job, ListMultimap<String, RunRecord> byTask) {
        for (int index = 0; index < job.tasks(); index++) {
            List<RunRecord> runs = byTask.get(job.id() + ".0.0." + index);
            if (job.isRefused() && !runs.isEmpty()) {
                violations.add("refused but ran: " + job.id() + " " + runs);
            }
            boolean done = runs.stream().anyMatch(run -> run.done() && run.endedAt() <= job.answeredAtMillis());
            if (job.isDone() && !done) {
                violations.add("answered as done but task " + index + " was not done: " + job.id() + " " + runs);
            }
        }
    }
}
