package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;

/** The client of one job, which submits it again after every answer that is not final. */
final class CrashClient {
    /** The time after which a client submits its job again, in milliseconds. */
    private static final long PAUSE_MILLIS = 1_300;

    private static final int MAX_SUBMISSIONS = 9;
    private static final int MAX_ATTEMPTS = 4;
    private static final long ESTIMATE_MILLIS = 400;

    private final CrashFixture fixture;
    private final JobId id;
    private final int tasks;
    private final long deadlineMillis;
    private final Random random;
    private final List<Submission> submissions = new ArrayList<>();
    private int attempts;

    /**
     * Creates a client that has not submitted its job.
     *
     * @param random draws the job, its attempts and the nodes through which it is submitted
     */
    CrashClient(CrashFixture fixture, int job, Random random) {
        this.fixture = fixture;
        this.id = new JobId(String.format("%016x", job));
        this.random = random;
        this.tasks = 1 + random.nextInt(3);
        this.attempts = 1 + random.nextInt(MAX_ATTEMPTS);
        this.deadlineMillis = random.nextBoolean() ? 2_000 + random.nextInt(2_000) : 8_000;
        fixture.faults.observeKills(this::nodeKilled);
    }

    JobId id() {
        return id;
    }

    /** Submits the job through any node. */
    void submit() {
        if (submissions.size() >= MAX_SUBMISSIONS) {
            return;
        }
        if (!submissions.isEmpty() && random.nextInt(3) == 0) {
            attempts = 1 + random.nextInt(MAX_ATTEMPTS);
        }
        FaultNode through = fixture.faults.drawNodeUp(random);
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", "board", 0, attempts, 1.6, 60);
        TaskStep step = new TaskStep(tasks, new Resources(FakeCluster.TASK_MILLI_CORES, 64, 0), ESTIMATE_MILLIS);
        Submission submission = new Submission(through, attempts, nowMillis());
        submissions.add(submission);
        fixture.recordOffer(id);
        fixture.faults.log(
                "job " + id + " with " + tasks + " tasks, " + attempts + " attempts submitted through " + through);
        through.deliver(
                submission,
                () -> submission.service = through.node()
                        .coordinator()
                        .router()
                        .submit(
                                queue,
                                new JobRequest(id, "x", step),
                                deadlineMillis,
                                reply -> replied(submission, reply)));
    }

    private long nowMillis() {
        return fixture.faults.timers().nowMillis();
    }

    private void replied(Submission submission, JobReply reply) {
        fixture.faults.log("job " + id + " answered " + reply + " by " + submission.through);
        submission.replies++;
        submission.outcome = Optional.of(reply.outcome());
        submission.repliedMillis = nowMillis();
        if (!submission.left && !reply.outcome().isFinal()) {
            submitLater();
        }
    }

    private void submitLater() {
        fixture.faults.timers().schedule(PAUSE_MILLIS, this::submit);
    }

    /** Leaves and submits the job again later, unless the job is answered. */
    void leave() {
        open().ifPresent(submission -> {
            fixture.faults.log("client of job " + id + " leaves " + submission.through);
            submission.left = true;
            submission.through.deliver(submission, () -> submission.service.clientLeft());
            submitLater();
        });
    }

    private void nodeKilled(FaultNode node) {
        open().filter(submission -> submission.through == node).ifPresent(submission -> {
            submission.left = true;
            submitLater();
        });
    }

    private Optional<Submission> open() {
        return submissions.isEmpty() ? Optional.empty() : last().filter(Submission::isOpen);
    }

    private Optional<Submission> last() {
        return Optional.of(submissions.get(submissions.size() - 1));
    }

    /** Returns whether the client waits for no answer and submits the job no more. */
    boolean isSatisfied() {
        Submission last = last().orElseThrow();
        return last.isAnswered() && (last.hasFinalAnswer() || submissions.size() == MAX_SUBMISSIONS);
    }

    /** Returns the submissions of the job. */
    ImmutableList<Submission> submissions() {
        return ImmutableList.copyOf(submissions);
    }

    /** Returns the fewest attempts of the queue when the job was submitted until then. */
    int fewestAttempts(long untilMillis) {
        return attemptsUntil(untilMillis).min().orElseThrow();
    }

    /** Returns the most attempts of the queue when the job was submitted until then. */
    int mostAttempts(long untilMillis) {
        return attemptsUntil(untilMillis).max().orElseThrow();
    }

    private IntStream attemptsUntil(long untilMillis) {
        return submissions.stream()
                .filter(submission -> submission.sentMillis <= untilMillis)
                .mapToInt(submission -> submission.attempts);
    }

    /** Returns the submissions that were not answered once and in time. */
    ImmutableList<Submission> lateAnswers() {
        return submissions.stream()
                .filter(submission -> !submission.left)
                .filter(submission ->
                        submission.replies != 1 || submission.repliedMillis > submission.sentMillis + deadlineMillis)
                .collect(ImmutableList.toImmutableList());
    }

    /** One submission of the job. */
    static final class Submission {
        private final FaultNode through;
        private final int attempts;
        private final long sentMillis;
        private JobService.Submission service;
        private boolean left;
        private int replies;
        private long repliedMillis;
        private Optional<JobOutcome> outcome = Optional.empty();

        Submission(FaultNode through, int attempts, long sentMillis) {
            this.through = through;
            this.attempts = attempts;
            this.sentMillis = sentMillis;
        }

        private boolean isOpen() {
            return !left && replies == 0;
        }

        private boolean isAnswered() {
            return !left && replies > 0;
        }

        private boolean hasFinalAnswer() {
            return outcome.filter(JobOutcome::isFinal).isPresent();
        }

        /** Returns whether the client was told this. */
        boolean wasAnswered(JobOutcome as) {
            return !left && outcome.filter(given -> given == as).isPresent();
        }

        long sentMillis() {
            return sentMillis;
        }

        long repliedMillis() {
            return repliedMillis;
        }

        @Override
        public String toString() {
            return "submission at " + sentMillis + " with " + replies + " answers";
        }
    }
}
