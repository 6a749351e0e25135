package org.tarragonarch.standin.load;

import com.google.common.collect.ImmutableList;
import java.util.SplittableRandom;

/**
 * The mix of submissions of one of two users.
 *
 * <p>Job sizes are log-uniform from 1 to 110 tasks. Run times are log-uniform from 50 ms, except for a small share of
 * tasks that take several seconds.
 */
public enum LoadShape {
    /** Uploads of manuscripts: mostly jobs, up to a second a task, 2 in 100 tasks take 2 to 5 s. */
    DERWENT(0.3, 1000, 0.02),
    /** Registry work: mostly single lookups, up to 300 ms a task, 1 in 200 tasks takes 2 to 5 s. */
    KIVILAHTI(0.7, 300, 0.005);

    private static final int MAX_TASKS = 110;
    private static final int SHORTEST_MILLIS = 50;
    private static final int SLOW_FROM_MILLIS = 2_000;
    private static final int SLOW_TO_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int SAMPLES = 20_000;
    private static final long SAMPLE_SEED = 1;

    private final double shareSingle;
    private final int longestMillis;
    private final double shareSlow;

    LoadShape(double shareSingle, int longestMillis, double shareSlow) {
        this.shareSingle = shareSingle;
        this.longestMillis = longestMillis;
        this.shareSlow = shareSlow;
    }

    /** Draws the plan of the next submission. */
    JobPlan nextPlan(SplittableRandom random) {
        boolean single = random.nextDouble() < shareSingle;
        int tasks = single ? 1 : (int) logUniform(random, 1, MAX_TASKS + 1);
        ImmutableList.Builder<Integer> runTimes = ImmutableList.builder();
        for (int i = 0; i < tasks; i++) {
            runTimes.add(runTimeMillis(random));
        }
        return new JobPlan(single, runTimes.build());
    }

    /**
     * Returns the rate of submissions whose tasks occupy a share of the slots on average.
     *
     * @param load the share, such as 0.8 for 80%
     * @param slots the number of slots
     */
    public double jobsPerSecond(double load, int slots) {
        return load * slots * MILLIS_PER_SECOND / meanWorkMillis();
    }

    /** Returns the mean work of a submission, the sum of its run times in milliseconds, from a fixed sample. */
    double meanWorkMillis() {
        SplittableRandom random = new SplittableRandom(SAMPLE_SEED);
        long work = 0;
        for (int i = 0; i < SAMPLES; i++) {
            work += nextPlan(random).workMillis();
        }
        return (double) work / SAMPLES;
    }

    private int runTimeMillis(SplittableRandom random) {
        return random.nextDouble() < shareSlow
                ? random.nextInt(SLOW_FROM_MILLIS, SLOW_TO_MILLIS + 1)
                : (int) logUniform(random, SHORTEST_MILLIS, longestMillis + 1);
    }

    private static double logUniform(SplittableRandom random, double from, double to) {
        return from * Math.exp(random.nextDouble() * Math.log(to / from));
    }
}
