package org.tarragonarch.benchmark.experiment;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Runs a load with several seeds, and checks means over them. */
final class SeedRuns {
    private SeedRuns() {}

    /** Returns the results of the seeds from 1 on, in their order. */
    static ImmutableList<ExperimentResult> run(LoadShape shape, int seeds) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> Experiment.run(shape, seed))
                .collect(ImmutableList.toImmutableList());
    }

    static double mean(ImmutableList<ExperimentResult> results, ToDoubleFunction<ExperimentResult> figure) {
        return results.stream().mapToDouble(figure).average().orElseThrow();
    }

    static void assertAtLeast(double found, double least, String what) {
        assertTrue(found >= least, what + " " + found + " is below " + least);
    }
}
