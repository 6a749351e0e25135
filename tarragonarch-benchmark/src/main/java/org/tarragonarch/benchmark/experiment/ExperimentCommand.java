package org.tarragonarch.benchmark.experiment;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.share.ShareSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs load shapes with several seeds and prints the earned share of worth by kind, domain and time window. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Simulates a load on virtual time with the nodes' own decisions.")
public final class ExperimentCommand implements Callable<Integer> {
    private static final int EXIT_USAGE = 2;

    @Parameters(
            arity = "1..*",
            paramLabel = "SHAPE",
            description = "Files of load shapes, or names of built-in ones: pool, crowded, outage, lender, quotes.")
    private List<String> shapes;

    @Option(names = "--seeds", defaultValue = "6", description = "Number of seeds, from 1.")
    private int seeds;

    @Option(names = "--rate", description = "Jobs per second, instead of the rate of the shape.")
    private Double rate;

    @Option(
            names = "--shares",
            split = ",",
            paramLabel = "WEIGHT",
            description = "Weights of the priorities 0, 1, ... instead of the shares of the shape.")
    private List<Double> shares = new ArrayList<>();

    private final PrintWriter out = new PrintWriter(System.out, true, Charset.defaultCharset());

    /** Parses the arguments, runs the command and exits. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ExperimentCommand()).execute(arguments));
    }

    @Override
    public Integer call() {
        for (String name : shapes) {
            try {
                LoadShape shape = name.contains(".") ? LoadShapes.read(Path.of(name)) : LoadShapes.named(name);
                print(name, runSeeds(withOverrides(shape)));
            } catch (StepException e) {
                System.err.println(e.peer() + ": " + e.getMessage());
                return EXIT_USAGE;
            }
        }
        return 0;
    }

    private LoadShape withOverrides(LoadShape shape) {
        LoadShape rated = rate == null ? shape : shape.withJobsPerSecond(rate);
        return shares.isEmpty()
                ? rated
                : rated.withShares(IntStream.range(0, shares.size())
                        .mapToObj(priority -> ShareSettings.weighted(priority, shares.get(priority)))
                        .toList());
    }

    private ImmutableList<ExperimentResult> runSeeds(LoadShape shape) {
        AtomicInteger finished = new AtomicInteger();
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> {
                    ExperimentResult result = Experiment.run(shape, seed);
                    System.err.printf("%d of %d finished%n", finished.incrementAndGet(), seeds);
                    return result;
                })
                .collect(ImmutableList.toImmutableList());
    }

    private void print(String name, ImmutableList<ExperimentResult> results) {
        out.printf(
                "%n%s, %d seeds, %d jobs in the first%n",
                name, results.size(), results.get(0).jobs());
        Map<String, double[]> rows = new LinkedHashMap<>();
        rows.put(
                "earned",
                results.stream().mapToDouble(ExperimentResult::earnedShare).toArray());
        rows.put(
                "at most", results.stream().mapToDouble(ExperimentResult::bound).toArray());
        for (String kind : results.get(0).earnedByKind().keySet()) {
            rows.put(
                    kind,
                    results.stream()
                            .mapToDouble(each -> each.earnedByKind().get(kind))
                            .toArray());
            rows.put(
                    kind + ", widest",
                    results.stream()
                            .mapToDouble(each -> each.earnedByWidest(kind))
                            .toArray());
        }
        for (String domain : results.get(0).earnedByDomain().keySet()) {
            rows.put(
                    domain,
                    results.stream()
                            .mapToDouble(each -> each.earnedByDomain().get(domain))
                            .toArray());
        }
        for (String window : results.get(0).earnedByWindow().keySet()) {
            rows.put(
                    "from " + window,
                    results.stream()
                            .mapToDouble(each -> each.earnedByWindow().getOrDefault(window, 1.0))
                            .toArray());
        }
        for (JobResult jobResult : JobResult.values()) {
            rows.put(
                    jobResult.name(),
                    results.stream()
                            .mapToDouble(each -> (double) each.count(jobResult) / each.jobs())
                            .toArray());
        }
        rows.put("moved", fractionOfJobs(results, ExperimentResult::moved));
        rows.put("moved and given back", fractionOfJobs(results, ExperimentResult::movedBack));
        rows.forEach(this::printRow);
        out.printf(
                "overfilled %d times%n",
                results.stream().mapToInt(ExperimentResult::overcommitCount).sum());
    }

    private static double[] fractionOfJobs(
            ImmutableList<ExperimentResult> results, ToIntFunction<ExperimentResult> count) {
        return results.stream()
                .mapToDouble(each -> (double) count.applyAsInt(each) / each.jobs())
                .toArray();
    }

    private void printRow(String name, double[] values) {
        double sum = 0;
        double least = Double.MAX_VALUE;
        double most = -Double.MAX_VALUE;
        for (double value : values) {
            sum += value;
            least = Math.min(least, value);
            most = Math.max(most, value);
        }
        out.printf("%s %.3f  (%.3f to %.3f)%n", Strings.padEnd(name, 24, ' '), sum / values.length, least, most);
    }
}
