package org.tarragonarch.standin.explore;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.Problem;

/** A checker of every task start and every answer against the promises of the system. */
public final class PromiseChecker {
    private final VirtualTime time;
    private final Ledger ledger;
    private final Map<SubmissionId, SentSubmission> submissions = new HashMap<>();
    private final Map<ClaimKey, Set<Integer>> startedByKey = new HashMap<>();
    private final Map<ClaimKey, Set<Integer>> succeededByKey = new HashMap<>();
    private final Map<String, ConfigurationVersion> inForce = new HashMap<>();

    PromiseChecker(VirtualTime time, Ledger ledger) {
        this.time = time;
        this.ledger = ledger;
    }

    void recordSent(SentSubmission submission) {
        submissions.put(submission.submission().id(), submission);
    }

    /** Returns an unmodifiable view of all submissions. */
    public Collection<SentSubmission> sentSubmissions() {
        return Collections.unmodifiableCollection(submissions.values());
    }

    void recordStart(TaskId task, int attempt, String endpoint) {
        SentSubmission submission = submissions.get(task.submission());
        boolean startedBefore = !ledger.starts(task).isEmpty();
        if (startedBefore && submission.submission().form() == SubmissionForm.JOB) {
            throw violation("no task of a submission starts twice", task + " started again at " + endpoint);
        }
        if (startedBefore && !submission.idempotent()) {
            throw violation("a non-idempotent request runs at most once", task + " started again at " + endpoint);
        }
        if (submission.isAnswered() && submission.outcome().equals(Outcome.NOT_RUN.word())) {
            throw violation("not-run means that it did not run", task + " started after that answer");
        }
        Optional<ClaimKey> key = submission.claimKey();
        if (key.isPresent() && !submission.idempotent()) {
            Set<Integer> indexes = startedByKey.computeIfAbsent(key.get(), claimKey -> new HashSet<>());
            if (!indexes.add(task.index())) {
                throw violation("a non-idempotent key runs at most once", key.get() + " ran again as " + task);
            }
        }
        ledger.recordStart(task, attempt, endpoint, time.nowNanos());
    }

    void recordSuccess(TaskId task) {
        ledger.recordSuccess(task);
        submissions
                .get(task.submission())
                .claimKey()
                .ifPresent(key -> succeededByKey
                        .computeIfAbsent(key, claimKey -> new HashSet<>())
                        .add(task.index()));
    }

    void recordAnswer(SubmissionId id, Optional<Problem> problem, long nodeUnfrozenNanos) {
        SentSubmission submission = submissions.get(id);
        if (submission.isAnswered()) {
            throw violation("every submission has one answer", id + " was answered again");
        }
        submission.recordAnswer(problem, time.nowNanos());
        if (problem.isEmpty()) {
            checkComplete(submission);
        } else {
            checkProblem(submission, problem.get());
        }
        long latest = Math.max(submission.deadlineNanos(), nodeUnfrozenNanos);
        if (time.nowNanos() > latest) {
            throw violation("what is given up on is answered at once", id + " was answered after its deadline");
        }
    }

    void recordConfiguration(String nodeRun, ConfigurationVersion version) {
        ConfigurationVersion before = inForce.put(nodeRun, version);
        if (before != null && !version.isNewerThan(before)) {
            throw violation("a configuration never reverts", nodeRun + " went from " + before + " to " + version);
        }
    }

    private void checkComplete(SentSubmission submission) {
        Set<Integer> succeededIndexes = submission
                .claimKey()
                .map(key -> succeededByKey.getOrDefault(key, Set.of()))
                .orElse(Set.of());
        for (int index = 0; index < submission.submission().tasks().size(); index++) {
            TaskId task = new TaskId(submission.submission().id(), index);
            if (!ledger.hasSucceeded(task) && !succeededIndexes.contains(index)) {
                throw violation("a complete answer holds every result", task + " has not succeeded");
            }
        }
    }

    private void checkProblem(SentSubmission submission, Problem problem) {
        SubmissionId id = submission.submission().id();
        if (problem.code().outcome() == Outcome.NOT_RUN && ledger.hasStarted(id)) {
            throw violation("not-run means that it did not run", id + " had started");
        }
        if (problem.code().isRetryable() && problem.retryAfter().isEmpty()) {
            throw violation("a refusal names a time to come back", id + " got none with " + problem.code());
        }
    }

    Violation violation(String promise, String what) {
        return new Violation(promise, what, time.nowNanos());
    }
}
