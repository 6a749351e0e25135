package org.tarragonarch.benchmark.experiment;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Runs a load shape with several seeds and checks the means of the results. */
final class SeedRuns {
    private SeedRuns() {}

    /** Returns the results of the seeds 1 to {@code seeds}, in order. */
    static ImmutableList<ExperimentResult> run(LoadShape shape, int seeds) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> Experiment.run(shape, seed))
                .collect(ImmutableList.toImmutableList());
    }

    static double mean(ImmutableList<ExperimentResult> results, ToDoubleFunction<ExperimentResult> figure) {
        return results.stream().mapToDouble(figure).average().orElseThrow();
    }

    static void assertAtLeast(double actual, double bound, String what) {
        assertTrue(actual >= bound, what + " " + actual + " is below " + bound);
    }
}
