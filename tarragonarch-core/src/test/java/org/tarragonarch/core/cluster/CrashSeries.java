package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.task.TaskName;

/** Plays jobs of sound, failing and crashing tasks while endpoints crash and holders change, drawn from a seed. */
final class CrashSeries {
    private static final int JOBS = 8;
    private static final int MAX_FAULTS = 24;

    /** The time in which jobs are submitted and faults occur, in milliseconds. */
    private static final int FAULTS_MILLIS = 6_000;

    /** The time after the faults, in milliseconds: a client submits its job as often as it does within it. */
    private static final long AFTERMATH_MILLIS = 90_000;

    private static final long STEP_MILLIS = 1_000;

    private final CrashFixture fixture;
    private final List<CrashClient> clients = new ArrayList<>();
    private final long faultsEndMillis;

    /**
     * Plays the faults of a seed.
     *
     * @param reportsStarts whether endpoints tell their start times from the beginning
     */
    CrashSeries(boolean reportsStarts, long seed) {
        fixture = new CrashFixture(reportsStarts, seed);
        Random random = fixture.random;
        for (int job = 1; job <= JOBS; job++) {
            CrashClient client = new CrashClient(fixture, job, new Random(random.nextLong()));
            TaskConduct conduct = TaskConduct.values()[random.nextInt(TaskConduct.values().length)];
            fixture.setConduct(TaskName.of(client.id(), 0, 0), conduct);
            fixture.faults.log("job " + client.id() + ": " + conduct);
            clients.add(client);
            fixture.faults.timers().schedule(random.nextInt(FAULTS_MILLIS / 2), client::submit);
        }
        ImmutableList<CrashFault> faults = drawFaults(random);
        int count = 1 + random.nextInt(MAX_FAULTS);
        boolean clientsLeave = random.nextInt(3) == 0;
        for (int i = 0; i < count; i++) {
            fixture.faults.timers().advance(random.nextInt(2 * FAULTS_MILLIS / count));
            CrashFault fault = faults.get(random.nextInt(faults.size()));
            fixture.faults.log(fault + " " + fault.inject(fixture));
            if (clientsLeave && random.nextInt(4) == 0) {
                clients.get(random.nextInt(JOBS)).leave();
            }
        }
        faultsEndMillis = fixture.faults.timers().nowMillis();
        long until = fixture.faults.timers().nowMillis() + AFTERMATH_MILLIS;
        fixture.faults.timers().advance(FAULTS_MILLIS);
        while (fixture.faults.timers().nowMillis() < until && !clients.stream().allMatch(CrashClient::isSatisfied)) {
            fixture.faults.timers().advance(STEP_MILLIS);
        }
    }

    /** Draws about half of the faults, so that few of them also occur alone. */
    private static ImmutableList<CrashFault> drawFaults(Random random) {
        ImmutableList.Builder<CrashFault> drawn = ImmutableList.builder();
        drawn.add(CrashFault.values()[random.nextInt(CrashFault.values().length)]);
        for (CrashFault fault : CrashFault.values()) {
            if (random.nextBoolean()) {
                drawn.add(fault);
            }
        }
        return drawn.build();
    }

    /** Returns the violations of these rules. */
    ImmutableList<CrashViolation> violations(Set<CrashRule> rules) {
        return violations().stream()
                .filter(violation -> rules.contains(violation.rule()))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<CrashViolation> violations() {
        ImmutableList.Builder<CrashViolation> found = ImmutableList.builder();
        fixture.faults
                .cluster
                .ledger
                .violations()
                .forEach(violation -> found.add(new CrashViolation(CrashRule.RUNS, violation)));
        for (CrashClient client : clients) {
            found.addAll(new CrashChecks(fixture, client, faultsEndMillis).violations());
        }
        return found.build();
    }

    /** Returns what happened, each event with its time on the virtual clock in milliseconds. */
    ImmutableList<String> events() {
        return ImmutableList.copyOf(fixture.faults.events());
    }
}
