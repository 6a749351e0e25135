package org.tarragonarch.core.cluster;

import java.util.Optional;
import java.util.Random;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobService;

/** The client of one job, which may leave and submit the job again. */
final class SeriesClient {
    /** The time after which a client submits an unanswered job again, in milliseconds. */
    private static final long PAUSE_MILLIS = 1_300;

    private final FaultFixture fixture;
    private final int job;
    private final int tasks;
    private final Random random;
    private Attempt attempt;
    private long lastSubmittedMillis;
    private Optional<JobReply> reply = Optional.empty();
    private long repliedMillis;
    private int replies;

    /**
     * Creates a client that has not submitted its job.
     *
     * @param random draws the nodes through which the job is submitted
     */
    SeriesClient(FaultFixture fixture, int job, int tasks, Random random) {
        this.fixture = fixture;
        this.job = job;
        this.tasks = tasks;
        this.random = random;
    }

    /** Submits the job through any node. */
    void submit() {
        submit(fixture.drawNodeUp(random));
    }

    private void submit(FaultNode through) {
        Attempt submitted = new Attempt(through);
        attempt = submitted;
        lastSubmittedMillis = fixture.timers().nowMillis();
        fixture.log("job " + job + " with " + tasks + " tasks submitted through " + through);
        through.deliver(
                submitted,
                () -> submitted.submission =
                        fixture.cluster.submit(through.node(), job, tasks, answer -> replied(submitted, answer)));
    }

    private void replied(Attempt replied, JobReply answer) {
        fixture.log("job " + job + " answered " + answer + " by " + replied.through);
        if (replied == attempt) {
            reply = Optional.of(answer);
            repliedMillis = fixture.timers().nowMillis();
            replies++;
        }
    }

    /** Leaves and submits the job again through any node later, unless the job is answered. */
    void leave() {
        if (attempt == null || reply.isPresent()) {
            return;
        }
        Attempt left = attempt;
        attempt = null;
        fixture.log("client of job " + job + " leaves " + left.through);
        left.through.deliver(left, () -> left.submission.clientLeft());
        fixture.timers().schedule(PAUSE_MILLIS, this::submit);
    }

    /** Submits the job again if it was with a node that has been killed. */
    void nodeKilled(FaultNode node) {
        if (attempt != null && attempt.through == node && reply.isEmpty()) {
            attempt = null;
            fixture.timers().schedule(PAUSE_MILLIS, this::submit);
        }
    }

    /** Returns when the client must have its answer; a node that is suspended answers later. */
    private long deadlineMillis() {
        return lastSubmittedMillis
                + FakeCluster.DEADLINE_MILLIS
                + (attempt == null ? 0 : attempt.through.suspendedMillis());
    }

    boolean isAnsweredInTime() {
        return replies == 1 && repliedMillis <= deadlineMillis();
    }

    @Override
    public String toString() {
        return "job " + job + " has " + replies + " answers, the last " + reply;
    }

    /** One submission of the job. */
    private static final class Attempt {
        private final FaultNode through;
        private JobService.Submission submission;

        Attempt(FaultNode through) {
            this.through = through;
        }
    }
}
