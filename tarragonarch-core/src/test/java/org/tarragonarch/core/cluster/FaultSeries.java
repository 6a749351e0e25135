package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.Random;

/** Plays jobs while faults that are drawn from a seed happen in series and overlap. */
final class FaultSeries {
    private static final int MAX_FAULTS = 10;

    /** The time in which faults occur, in milliseconds. */
    private static final int FAULTS_MILLIS = 2_500;

    /** The time after the last fault was drawn in which it ends, and in which a lost run starts again. */
    private static final long FAULTS_END_MILLIS = 6_000;

    /** The time until a job that was submitted again last must be answered, and a suspension more, in milliseconds. */
    private static final long END_MILLIS = 2 * FakeCluster.DEADLINE_MILLIS;

    private final FaultFixture fixture;
    private final ImmutableList<String> violations;

    /** Plays the faults of a seed. */
    FaultSeries(FaultSet faults, long seed) {
        fixture = faults.start(seed);
        Random random = fixture.random;
        for (int job = 1; job <= faults.jobs(); job++) {
            SeriesClient client = new SeriesClient(fixture, job, 1 + random.nextInt(2), new Random(random.nextLong()));
            fixture.addClient(client);
            client.submit();
            fixture.timers().advance(random.nextInt(20));
        }
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            inject(faults.draw(random));
            fixture.timers().advance(random.nextInt(random.nextBoolean() ? 10 : 2 * FAULTS_MILLIS / count));
        }
        fixture.timers().advance(FAULTS_END_MILLIS);
        if (!fixture.clients().stream().allMatch(SeriesClient::isAnsweredInTime)) {
            fixture.timers().advance(END_MILLIS - FAULTS_END_MILLIS);
        }
        violations = findViolations();
    }

    private void inject(SeriesFault fault) {
        fixture.log(fault + " " + fault.inject(fixture));
    }

    private ImmutableList<String> findViolations() {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        found.addAll(fixture.cluster.ledger.violations());
        fixture.clients().stream()
                .filter(client -> !client.isAnsweredInTime())
                .forEach(client -> found.add("not answered in time: " + client));
        return found.build();
    }

    /** Returns what was wrong; empty if each job was answered in time and no rule on runs was broken. */
    ImmutableList<String> violations() {
        return violations;
    }

    /** Returns what happened, each event with its time on the virtual clock in milliseconds. */
    ImmutableList<String> events() {
        return ImmutableList.copyOf(fixture.events());
    }
}
