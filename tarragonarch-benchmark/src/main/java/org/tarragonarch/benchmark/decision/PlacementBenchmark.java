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

/** Measures the time to handle the end of one task and to place the next one from the queue. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(
        value = 2,
        jvmArgs = {"-Xmx512m"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
public class PlacementBenchmark {
    /** The number of endpoints that the node knows. */
    @Param({"30", "2100"})
    public int workers;

    /** The number of queued jobs, of ten tasks each. */
    @Param({"10", "10000"})
    public int queuedJobs;

    private Decisions decisions;

    /** Creates the state of a node with the sizes of the parameters. */
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
