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

/** Holds what clients were told against what endpoints did. */
final class SoakChecks {
    /** Two tasks of 7 cores fit on an endpoint of 16. */
    private static final int TASKS_PER_ENDPOINT = 2;

    private final List<String> violations = new ArrayList<>();

    /**
     * Returns every promise that was broken.
     *
     * @param runs the ledger of each endpoint
     * @param jobs every job that a client sent
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

    /** No task runs on two endpoints, or twice on one, at the same time. */
    private void checkNoConcurrentRuns(List<RunRecord> ofTask) {
        List<RunRecord> inOrder = new ArrayList<>(ofTask);
        inOrder.sort(Comparator.comparingLong(RunRecord::startedAt));
        for (int i = 1; i < inOrder.size(); i++) {
            RunRecord earlier = inOrder.get(i - 1);
            RunRecord later = inOrder.get(i);
            if (later.startedAt() < earlier.endedAt()) {
                violations.add("runs twice at once: " + earlier + " and " + later);
            }
        }
    }

    /** No endpoint is given more than it has room for. */
    private void checkCapacity(List<RunRecord> ledger) {
        for (RunRecord run : ledger) {
            long beside = ledger.stream()
                    .filter(other -> other.startedAt() <= run.startedAt() && other.endedAt() > run.startedAt())
                    .count();
            if (beside > TASKS_PER_ENDPOINT) {
                violations.add("no room: " + beside + " tasks at the start of " + run);
            }
        }
    }

    /** Nothing is started that no client asked for. */
    private void checkSubmitted(ListMultimap<String, RunRecord> byTask, List<SentJob> jobs) {
        Map<String, SentJob> byId = jobs.stream().collect(Collectors.toMap(SentJob::id, Function.identity()));
        for (String task : byTask.keySet()) {
            String id = task.substring(0, task.indexOf('.'));
            int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
            if (!byId.containsKey(id) || index >= byId.get(id).tasks()) {
                violations.add("nobody asked for " + task);
            }
        }
    }

    /** "Refused" means that nothing ran, "done" that every task did its work before. */
    private void checkAnswers(SentJob job, ListMultimap<String, RunRecord> byTask) {
        for (int index = 0; index < job.tasks(); index++) {
            List<RunRecord> runs = byTask.get(job.id() + ".0.0." + index);
            if (job.isRefused() && !runs.isEmpty()) {
                violations.add("refused, and ran: " + job.id() + " " + runs);
            }
            boolean done = runs.stream().anyMatch(run -> run.done() && run.endedAt() <= job.answeredAtMillis());
            if (job.isDone() && !done) {
                violations.add("answered as done, and task " + index + " was not: " + job.id() + " " + runs);
            }
        }
    }
}
