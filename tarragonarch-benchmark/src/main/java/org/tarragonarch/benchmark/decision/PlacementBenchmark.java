package org.tarragonarch.benchmark.decision;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.tarragonarch.core.endpoint.Endpoint;

/** The time of one task: its end at an endpoint, the next one out of the queue, and its endpoint chosen. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(
        value = 2,
        jvmArgs = {"-Xmx512m"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
public class PlacementBenchmark {
    /** How many workers the node knows. */
    @Param({"30", "2100"})
    public int workers;

    /** How many jobs of ten tasks wait. */
    @Param({"10", "10000"})
    public int queuedJobs;

    private Decisions decisions;

    /** Builds a node's state of the wanted size. */
    @Setup
    public void build() {
        decisions = new Decisions(workers, queuedJobs);
    }

    /** Places one task. */
    @Benchmark
    public Optional<Endpoint> placeOneTask() {
        return decisions.place();
    }
}
