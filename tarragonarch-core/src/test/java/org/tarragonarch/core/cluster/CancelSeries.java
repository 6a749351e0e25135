package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.RunObserver;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.TaskRun;

/**
 * Plays jobs that are cancelled, and submitted once more later, while faults that are drawn from a seed happen.
 *
 * <p>A start by a node that was just disturbed is allowed: it may not have heard of the cancellation yet.
 */
final class CancelSeries implements RunObserver {
    private static final int MAX_FAULTS = 10;

    /** The time in which faults occur and jobs are cancelled, in milliseconds. */
    private static final int FAULTS_MILLIS = 2_500;

    /** The time for which a node must have been undisturbed to be held to the bound, in milliseconds. */
    private static final long STABILITY_MILLIS = 3_000;

    /** Longer than the time from the last cancellation until its last copy has run, in milliseconds. */
    private static final long END_MILLIS = 16_000;

    private final FaultFixture fixture;
    private final List<CancelClient> clients = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /** Plays the faults of a seed. */
    CancelSeries(FaultSet faults, long seed) {
        fixture = faults.start(seed);
        fixture.cluster.ledger.setRunObserver(this);
        Random random = fixture.random;
        for (int job = 1; job <= faults.jobs(); job++) {
            CancelClient client = new CancelClient(fixture, job, 1 + random.nextInt(2), new Random(random.nextLong()));
            clients.add(client);
            client.submit(FAULTS_MILLIS);
            fixture.timers().advance(random.nextInt(20));
        }
        SeriesClient patient = new SeriesClient(fixture, faults.jobs() + 1, 1, new Random(random.nextLong()));
        fixture.addClient(patient);
        patient.submit();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            SeriesFault fault = faults.draw(random);
            fixture.log(fault + " " + fault.inject(fixture));
            fixture.timers().advance(random.nextInt(2 * FAULTS_MILLIS / count));
        }
        fixture.timers().advance(END_MILLIS);
        violations.addAll(fixture.cluster.ledger.violations());
        if (!patient.isAnsweredInTime()) {
            violations.add("not answered in time: " + patient);
        }
    }

    /** Returns what was wrong; empty if no task started long after its job's cancellation was acknowledged. */
    ImmutableList<String> violations() {
        return ImmutableList.copyOf(violations);
    }

    /** Returns what happened, each event with its time on the virtual clock in milliseconds. */
    ImmutableList<String> events() {
        return ImmutableList.copyOf(fixture.events());
    }

    /** Returns the number of cancellations that were acknowledged. */
    long acknowledged() {
        return clients.stream()
                .filter(client -> client.acknowledgedMillis().isPresent())
                .count();
    }

    @Override
    public void started(TaskRun run, FencingToken token, FakeEndpoint at) {
        long now = fixture.timers().nowMillis();
        for (CancelClient client : clients) {
            if (run.task().belongsTo(client.id()) && client.acknowledgedMillis().isPresent()) {
                long since = now - client.acknowledgedMillis().getAsLong();
                if (since > CancelClient.CANCEL_MILLIS && fixture.nodeOf(token).isUndisturbedFor(STABILITY_MILLIS)) {
                    violations.add(run + " started " + since + " ms after the cancellation");
                }
            }
        }
    }

    @Override
    public void ended(TaskRun run, EndKind kind, FakeEndpoint at) {}

    @Override
    public void acknowledged(TaskRun run, FencingToken token, FakeEndpoint at) {}
}
