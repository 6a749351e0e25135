package org.tarragonarch.standin.scenario;

import static java.util.Comparator.comparingLong;
import static java.util.stream.Collectors.toCollection;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.entry.trace.TraceReplay;
import org.tarragonarch.standin.explore.Violation;
import org.tarragonarch.standin.explore.World;

/**
 * A parsed scenario; every run of it is the same.
 *
 * <p>A scenario either runs in a world of its own or replays the trace of one node. A replay uses only the
 * expectations.
 *
 * @param trace the trace to replay; empty for a world of its own
 * @param seed the seed of all random choices
 * @param nodes the number of nodes by failure domain; they are named {@code domain-1} and so on
 * @param endpoints the endpoints by failure domain; they are named {@code domain-w1} and so on
 * @param steps the steps, each at its time
 * @param expectations the conditions that the run must meet
 */
public record Scenario(
        Optional<Path> trace,
        long seed,
        ImmutableMap<String, Integer> nodes,
        ImmutableMap<String, EndpointGroup> endpoints,
        ImmutableList<Step> steps,
        ImmutableList<Expectation> expectations) {
    private static final long SETTLE_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Runs the scenario and returns the failed expectations, and the broken promise if there is one.
     *
     * @throws IOException if the trace cannot be read
     */
    public ImmutableList<String> run() throws IOException {
        return trace.isPresent() ? replay(trace.get()) : runWorld(World.create(seed, NodePolicy.DEFAULT));
    }

    /**
     * Runs the scenario and records a trace of each run of each node. A scenario of a trace is only replayed.
     *
     * @param folder the folder for the traces; a file is named by the node and its incarnation
     * @throws IOException if a trace cannot be read or written
     */
    public ImmutableList<String> runRecorded(Path folder) throws IOException {
        if (trace.isPresent()) {
            return run();
        }
        World world = World.create(seed, NodePolicy.DEFAULT);
        try (TraceFolder traces = new TraceFolder(folder)) {
            world.recordWith(traces::start);
            return runWorld(world);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private ImmutableList<String> replay(Path file) throws IOException {
        TraceRun run = new TraceRun();
        List<String> failures = new ArrayList<>();
        Deque<Expectation> timed = expectations.stream()
                .filter(expectation -> expectation.atNanos().isPresent())
                .sorted(comparingLong(expectation -> expectation.atNanos().get()))
                .collect(toCollection(ArrayDeque::new));
        TraceReplay.replay(file, (line, action) -> {
            long nanos = run.nanosSinceStart(line.nanos());
            while (!timed.isEmpty() && timed.peek().atNanos().get() < nanos) {
                check(timed.remove(), run, failures);
            }
            run.recordAction(line, action);
        });
        timed.forEach(expectation -> check(expectation, run, failures));
        checkAtEnd(run, failures);
        return ImmutableList.copyOf(failures);
    }

    private ImmutableList<String> runWorld(World world) {
        ScenarioRun run = new ScenarioRun(world);
        List<String> failures = new ArrayList<>();
        run.start(nodes, endpoints);
        steps.forEach(step -> run.scheduleAt(step.nanos(), () -> step.effect().accept(run)));
        for (Expectation expectation : expectations) {
            expectation.atNanos().ifPresent(nanos -> run.scheduleAt(nanos, () -> check(expectation, run, failures)));
        }
        try {
            world.runUntil(lastNanos() + SETTLE_NANOS);
        } catch (Violation violation) {
            failures.add(violation.getMessage());
            return ImmutableList.copyOf(failures);
        }
        checkAtEnd(run, failures);
        return ImmutableList.copyOf(failures);
    }

    private void checkAtEnd(ObservedRun observed, List<String> failures) {
        expectations.stream()
                .filter(expectation -> expectation.atNanos().isEmpty())
                .forEach(expectation -> check(expectation, observed, failures));
    }

    private long lastNanos() {
        long step = steps.stream().mapToLong(Step::nanos).max().orElse(0);
        long expectation = expectations.stream()
                .mapToLong(each -> each.atNanos().orElse(0L))
                .max()
                .orElse(0);
        return Math.max(step, expectation);
    }

    private static void check(Expectation expectation, ObservedRun observed, List<String> failures) {
        expectation.check().failure(observed).ifPresent(failure -> failures.add(expectation.text() + ": " + failure));
    }
}
