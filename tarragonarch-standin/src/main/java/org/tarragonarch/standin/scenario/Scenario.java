package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.standin.explore.Violation;
import org.tarragonarch.standin.explore.World;

/**
 * A scenario, read and ready to run; each run is the same.
 *
 * @param seed the seed of every random choice
 * @param nodes how many nodes each domain has; they are named {@code domain-1} and so on
 * @param endpoints the endpoints of each domain; they are named {@code domain-w1} and so on
 * @param steps what happens
 * @param expectations what must come of it
 */
public record Scenario(
        long seed,
        ImmutableMap<String, Integer> nodes,
        ImmutableMap<String, EndpointGroup> endpoints,
        ImmutableList<Step> steps,
        ImmutableList<Expectation> expectations) {
    private static final long SETTLE_NANOS = Duration.ofSeconds(10).toNanos();

    /** Runs the scenario; returns what did not come as expected, and a broken promise if there is one. */
    public ImmutableList<String> run() {
        ScenarioRun run = new ScenarioRun(World.create(seed, NodePolicy.DEFAULT));
        List<String> failures = new ArrayList<>();
        run.start(nodes, endpoints);
        steps.forEach(step -> run.at(step.nanos(), () -> step.effect().accept(run)));
        for (Expectation expectation : expectations) {
            expectation.atNanos().ifPresent(nanos -> run.at(nanos, () -> check(expectation, run, failures)));
        }
        try {
            run.world().runUntil(lastNanos() + SETTLE_NANOS);
        } catch (Violation violation) {
            failures.add(violation.getMessage());
            return ImmutableList.copyOf(failures);
        }
        expectations.stream()
                .filter(expectation -> expectation.atNanos().isEmpty())
                .forEach(expectation -> check(expectation, run, failures));
        return ImmutableList.copyOf(failures);
    }

    private long lastNanos() {
        long step = steps.stream().mapToLong(Step::nanos).max().orElse(0);
        long expectation = expectations.stream()
                .mapToLong(each -> each.atNanos().orElse(0L))
                .max()
                .orElse(0);
        return Math.max(step, expectation);
    }

    private static void check(Expectation expectation, ScenarioRun run, List<String> failures) {
        expectation.check().failure(run).ifPresent(what -> failures.add(expectation.text() + ": " + what));
    }
}
