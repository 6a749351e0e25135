package org.tarragonarch.benchmark.policy;

import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.tarragonarch.benchmark.policy.Measures.Waste;
import org.tarragonarch.benchmark.policy.Scenario.Fault;
import org.tarragonarch.core.placement.PlacementStrategy;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs every policy in every scenario with the same seeds and prints a table of their measures for comparison. */
@Command(name = "policy-comparison", description = "Compares placement and queue policies on virtual time.")
public final class PolicyComparison implements Callable<Integer> {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private static final String COLUMNS = "| policy | p50 | p95 | p99 | refused sends | reports | probes | vain stops"
            + " | wasted per start | slots busy | goodput | jobs refused | late | failed tasks, worst run |";

    private static final String ROW = "| %s | %.2f | %.2f | %.2f | %.4f | %.4f | %.4f | %.4f | %.4f | %.3f | %.3f |"
            + " %.2f %% | %.2f %% | %s |%n";

    private static final List<Policy> POLICIES = List.of(
            new Policy("random, fifo", PlacementStrategy.RANDOM, false, SECOND),
            new Policy("random", PlacementStrategy.RANDOM, true, SECOND),
            new Policy("two choices", PlacementStrategy.TWO_CHOICES, true, SECOND),
            new Policy("least loaded", PlacementStrategy.LEAST_LOADED, true, SECOND),
            new Policy("slot shares, fifo", PlacementStrategy.SLOT_SHARES, false, SECOND),
            new Policy("slot shares", PlacementStrategy.SLOT_SHARES, true, SECOND));

    private static final List<Scenario> SCENARIOS = List.of(
            Scenario.load("50 %", 0.5),
            Scenario.load("80 %", 0.8),
            Scenario.load("95 %", 0.95),
            Scenario.load("120 %", 1.2),
            Scenario.load("120 %, one team floods", 1.2).withFloodingTeam(),
            Scenario.bursts("bursts of 200 % over 50 %", 0.5, 2),
            Scenario.load("80 %, declared ten times too long", 0.8).withDeclaredFactor(10),
            Scenario.load("80 %, declared ten times too short", 0.8).withDeclaredFactor(0.1),
            Scenario.load("80 %, 5 % stragglers", 0.8).withStragglers(0.05),
            Scenario.load("80 %, a worker fails all", 0.8).withFault(Fault.BLACK_HOLE),
            Scenario.load("80 %, a node frozen 10 s", 0.8).withFault(Fault.FROZEN_NODE),
            Scenario.load("80 %, half of all jobs cancelled", 0.8).withFault(Fault.CANCEL_WAVE));

    @Option(names = "--seconds", defaultValue = "130", description = "Length of each run in virtual seconds.")
    private int seconds;

    @Option(names = "--seeds", defaultValue = "5", description = "Number of seeds, from 1.")
    private int seeds;

    @Option(
            names = "--shape",
            defaultValue = "DERWENT,KIVILAHTI",
            split = ",",
            description = "User shapes (default: ${DEFAULT-VALUE}).")
    private List<UserShape> shapes;

    @Option(names = "--scenario", defaultValue = "", description = "Run only scenarios whose names contain this text.")
    private String scenarioFilter;

    @Option(names = "--policy", defaultValue = "", description = "Run only policies whose names contain this text.")
    private String policyFilter;

    private final PrintWriter out = new PrintWriter(System.out, true, Charset.defaultCharset());

    /** Parses the arguments, runs the comparison and exits. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new PolicyComparison()).execute(arguments));
    }

    @Override
    public Integer call() {
        for (UserShape shape : shapes) {
            for (Scenario scenario : SCENARIOS) {
                if (scenario.name().contains(scenarioFilter)) {
                    compare(shape, scenario);
                }
            }
        }
        return 0;
    }

    private void compare(UserShape shape, Scenario scenario) {
        out.printf("%n%s, %s%n%n", shape, scenario.name());
        out.println(COLUMNS);
        out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (Policy policy : POLICIES) {
            if (!policy.name().contains(policyFilter)) {
                continue;
            }
            Measures sum = new Measures();
            // Runs share no state, so running them in parallel does not change the results.
            IntStream.rangeClosed(1, seeds)
                    .parallel()
                    .mapToObj(seed -> new PolicyRun(policy, shape, scenario, seed, seconds).run())
                    .toList()
                    .forEach(sum::add);
            print(policy, scenario, sum);
        }
    }

    private void print(Policy policy, Scenario scenario, Measures measures) {
        out.printf(
                Locale.ROOT,
                ROW,
                policy.name(),
                measures.ratioAt(50),
                measures.ratioAt(95),
                measures.ratioAt(99),
                measures.messagesPerStart(Waste.REFUSED_SEND),
                measures.messagesPerStart(Waste.REPORT),
                measures.messagesPerStart(Waste.PROBE),
                measures.messagesPerStart(Waste.USELESS_STOP),
                measures.wastePerStart(),
                measures.busyShare(),
                measures.goodput(),
                100.0 * measures.jobsRefused / measures.jobsOffered,
                100.0 * measures.jobsLate / measures.jobsOffered,
                failures(scenario, measures));
        if (scenario.floodingTeam()) {
            for (int team = 0; team < Workload.TEAMS; team++) {
                out.printf(
                        Locale.ROOT,
                        "|   %s offered %.3f, served %.3f | | | | | | | | | | | | | |%n",
                        Workload.team(team),
                        measures.offered(Workload.team(team)),
                        measures.served(Workload.team(team)));
            }
        }
    }

    private static String failures(Scenario scenario, Measures measures) {
        return scenario.fault() == Fault.BLACK_HOLE
                ? String.format(
                        Locale.ROOT, "%d, last after %.2f s", measures.tasksFailed, measures.lastFailureNanos / 1e9)
                : "-";
    }
}
