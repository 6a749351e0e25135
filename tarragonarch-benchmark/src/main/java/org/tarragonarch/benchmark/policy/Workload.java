package org.tarragonarch.benchmark.policy;

import java.time.Duration;
import java.util.Random;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.TeamName;

/**
 * Draws jobs of three kinds with 1 to 110 tasks, most of them small, and log-normal run times.
 *
 * <p>Arrivals do not depend on answers (an open loop), so that a stall does not reduce the load.
 */
final class Workload {
    static final int TEAMS = 3;
    private static final int MAX_TASKS = 110;
    private static final long SECOND = 1_000_000_000L;
    private static final String[] KINDS = {"word-count", "spelling", "style-check"};
    private static final double[] MEDIAN_SECONDS = {0.1, 0.2, 0.4};
    private static final double SIGMA = 0.5;
    private static final double LONG_SHARE = 0.02;
    private static final double STRAGGLER_FACTOR = 8;
    /** The fraction of jobs from a flooding team; the other two teams send a tenth and two tenths. */
    private static final double FLOOD_SHARE = 0.7;

    private final Scenario scenario;
    private final Random random;
    private final double jobsPerSecondAtCapacity;

    Workload(Scenario scenario, int slots, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.jobsPerSecondAtCapacity = slots / meanWorkSeconds();
    }

    /** Returns the time until the next arrival. */
    long nextGapNanos(long nowNanos) {
        boolean burst = nowNanos / SECOND % 5 == 0;
        double rate = jobsPerSecondAtCapacity * (burst ? scenario.burstLoad() : scenario.load());
        return (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND);
    }

    Job next(long nowNanos) {
        int kind = random.nextInt(KINDS.length);
        long[] runs = new long[(int) Math.exp(random.nextDouble() * Math.log(MAX_TASKS + 1))];
        for (int i = 0; i < runs.length; i++) {
            runs[i] = runNanos(kind);
        }
        Duration declared = Duration.ofNanos((long) (MEDIAN_SECONDS[kind] * SECOND * scenario.declaredFactor()));
        return new Job(team(), KindName.of(KINDS[kind]), declared, runs, nowNanos);
    }

    static TeamName team(int number) {
        return TeamName.of("team-" + number);
    }

    private TeamName team() {
        if (!scenario.floodingTeam()) {
            return team(random.nextInt(TEAMS));
        }
        double draw = random.nextDouble();
        return team(draw < FLOOD_SHARE ? 0 : draw < FLOOD_SHARE + 0.1 ? 1 : 2);
    }

    private long runNanos(int kind) {
        double seconds = random.nextDouble() < LONG_SHARE && kind == 2
                ? 2 + 3 * random.nextDouble()
                : Math.max(0.05, Math.min(1, MEDIAN_SECONDS[kind] * Math.exp(SIGMA * random.nextGaussian())));
        boolean straggler = random.nextDouble() < scenario.stragglerShare();
        return (long) (seconds * (straggler ? STRAGGLER_FACTOR : 1) * SECOND);
    }

    /** Returns the mean work of a job, estimated with a fixed seed so that all seeds offer the same load. */
    private double meanWorkSeconds() {
        Workload sample = new Workload(scenario, new Random(1));
        int jobs = 20_000;
        double sum = 0;
        for (int i = 0; i < jobs; i++) {
            sum += (double) sample.next(0).workNanos() / SECOND;
        }
        return sum / jobs;
    }

    private Workload(Scenario scenario, Random random) {
        this.scenario = scenario;
        this.random = random;
        this.jobsPerSecondAtCapacity = 0;
    }
}
