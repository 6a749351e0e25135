package org.tarragonarch.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.standin.load.ArrivalPattern;
import org.tarragonarch.standin.load.LoadOptions;
import org.tarragonarch.standin.load.LoadRun;
import org.tarragonarch.standin.load.LoadShape;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Submits load to entry nodes and checks every answer; exits with 1 if an answer was wrong. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        showDefaultValues = true,
        description = "Submits jobs at random times, whether or not earlier ones were answered.")
public final class LoadMain implements Callable<Integer> {
    @Option(names = "--callers", split = ",", required = true, description = "the nodes' caller addresses")
    private List<String> callers = List.of();

    @Option(names = "--admins", split = ",", description = "the nodes' administration addresses, for metrics")
    private List<String> admins = List.of();

    @Option(names = "--endpoints", split = ",", description = "the stand-in endpoints, for their ledgers")
    private List<String> endpoints = List.of();

    @Option(names = "--token", required = true, description = "the caller's token")
    private String token;

    @Option(names = "--service", required = true, description = "the name of the service")
    private String service;

    @Option(names = "--kind", defaultValue = "sleep", description = "the kind of task; its result must be its input")
    private String kind;

    @Option(names = "--shape", defaultValue = "derwent", description = "derwent or kivilahti")
    private String shape;

    @Option(names = "--pattern", defaultValue = "steady", description = "steady or bursts")
    private String pattern;

    @Option(names = "--slots", defaultValue = "0", description = "the total slots of all endpoints")
    private int slots;

    @Option(names = "--load", defaultValue = "0.5", description = "the load as a share of the slots")
    private double load;

    @Option(names = "--jobs-per-second", description = "the rate of submissions; overrides --load")
    private Double jobsPerSecond;

    @Option(names = "--duration-ms", defaultValue = "10000", description = "the time during which submissions arrive")
    private long durationMillis;

    @Option(names = "--max-jobs", defaultValue = "100000", description = "the maximum number of submissions")
    private int maxJobs;

    @Option(names = "--time-allowed-ms", defaultValue = "30000", description = "the time allowed for an answer")
    private long patienceMillis;

    @Option(
            names = "--declared-factor",
            defaultValue = "1",
            description = "ratio of declared to actual run time; 0 for none")
    private double declaredFactor;

    @Option(
            names = "--keyed-share",
            defaultValue = "0",
            description = "the share of submissions with an idempotency key")
    private double keyedShare;

    @Option(names = "--cancel-at-ms", description = "when to cancel half of the open submissions")
    private Long cancelAtMillis;

    @Option(
            names = "--round-trip-us",
            defaultValue = "1000",
            description = "network time in the ideal response time, in microseconds")
    private long roundTripMicros;

    @Option(names = "--seed", defaultValue = "7", description = "the seed of arrival times and submissions")
    private long seed;

    @Option(names = "--out", description = "the file to write the result to")
    private Path out;

    private LoadMain() {}

    /** Runs the load and exits. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new LoadMain()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException {
        LoadOptions options = options();
        ObjectNode result = LoadRun.run(options, System.err::println);
        result.put("shape", shape).put("pattern", pattern).put("load", jobsPerSecond == null ? load : 0);
        String text = new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result);
        System.out.println(text);
        if (out != null) {
            Files.writeString(out, text + "\n");
        }
        return result.path("wrong-answers").asInt() == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private LoadOptions options() {
        LoadShape loadShape = LoadShape.valueOf(shape.toUpperCase(Locale.ROOT));
        return new LoadOptions(
                addresses(callers),
                addresses(admins),
                addresses(endpoints),
                token,
                service,
                kind,
                loadShape,
                ArrivalPattern.valueOf(pattern.toUpperCase(Locale.ROOT)),
                jobsPerSecond != null ? jobsPerSecond : loadShape.jobsPerSecond(load, slots),
                slots,
                Duration.ofMillis(durationMillis),
                maxJobs,
                Duration.ofMillis(patienceMillis),
                declaredFactor,
                keyedShare,
                Optional.ofNullable(cancelAtMillis).map(Duration::ofMillis),
                Duration.ofNanos(roundTripMicros * 1000),
                seed);
    }

    private static ImmutableList<Address> addresses(List<String> values) {
        return values.stream().map(Address::parse).collect(ImmutableList.toImmutableList());
    }
}
