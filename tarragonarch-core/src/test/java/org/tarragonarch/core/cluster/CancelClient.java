package org.tarragonarch.core.cluster;

import java.util.OptionalLong;
import java.util.Random;
import org.tarragonarch.model.task.JobId;

/** The client of a job that it cancels while the job waits or runs; copies of its submission arrive long after that. */
final class CancelClient {
    /** The time after the acknowledgement of a cancellation from which on no task of the job may start. */
    static final long CANCEL_MILLIS = 3_000;

    private static final int LATE_COPIES = 2;
    private static final int LATEST_COPY_MILLIS = 8_000;

    private final FaultFixture fixture;
    private final int job;
    private final int tasks;
    private final Random random;
    private OptionalLong acknowledgedMillis = OptionalLong.empty();

    /**
     * Creates a client that has not submitted its job.
     *
     * @param random draws the nodes that the client calls, and when
     */
    CancelClient(FaultFixture fixture, int job, int tasks, Random random) {
        this.fixture = fixture;
        this.job = job;
        this.tasks = tasks;
        this.random = random;
    }

    JobId id() {
        return new JobId(String.format("%016x", job));
    }

    /** Returns when a node acknowledged the cancellation, in milliseconds; empty if none did. */
    OptionalLong acknowledgedMillis() {
        return acknowledgedMillis;
    }

    /** Submits the job through any node, and cancels it through any node after a time that is drawn. */
    void submit(int maxMillisToCancel) {
        submitThrough(fixture.drawNodeUp(random));
        fixture.timers().schedule(random.nextInt(maxMillisToCancel), this::cancel);
    }

    private void submitThrough(FaultNode node) {
        fixture.log("job " + job + " submitted through " + node);
        node.deliver(this, () -> fixture.cluster.submit(node.node(), job, tasks));
    }

    private void cancel() {
        FaultNode node = fixture.drawNodeUp(random);
        fixture.log("job " + job + " cancelled through " + node);
        node.deliver(this, () -> node.node().cancelEverywhere(id(), this::acknowledged));
    }

    private void acknowledged() {
        acknowledgedMillis = OptionalLong.of(fixture.timers().nowMillis());
        fixture.log("cancellation of job " + job + " acknowledged");
        for (int copy = 0; copy < LATE_COPIES; copy++) {
            long waitMillis = CANCEL_MILLIS + random.nextInt(LATEST_COPY_MILLIS - (int) CANCEL_MILLIS);
            fixture.timers().schedule(waitMillis, () -> submitThrough(fixture.drawNodeUp(random)));
        }
    }
}
