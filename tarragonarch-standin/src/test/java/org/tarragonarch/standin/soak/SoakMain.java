package org.tarragonarch.standin.soak;

import java.io.PrintStream;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays soaks by hand; exits with 1 if a promise was broken. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = "Plays fault soaks, one after the other.")
public final class SoakMain implements Callable<Integer> {
    @Option(names = "--first", defaultValue = "1", description = "The first seed; ${DEFAULT-VALUE} unless stated.")
    private long first;

    @Option(names = "--seeds", defaultValue = "1", description = "How many seeds.")
    private int seeds;

    @Option(names = "--nodes", defaultValue = "3", description = "How many nodes, each a process.")
    private int nodes;

    @Option(names = "--endpoints", defaultValue = "4", description = "How many endpoints.")
    private int endpoints;

    @Option(names = "--clients", defaultValue = "4", description = "How many clients.")
    private int clients;

    @Option(names = "--faults", defaultValue = "8", description = "How many faults a seed.")
    private int faults;

    @Option(names = "--millis", defaultValue = "4000", description = "By when the last fault has begun.")
    private int millis;

    private final PrintStream out = System.out;

    /** Runs the soaks that the arguments name. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new SoakMain()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        SoakOptions options = new SoakOptions(nodes, endpoints, clients, faults, millis);
        int failed = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            SoakResult result = new SoakRun(options, seed).run();
            out.println(result.summary());
            failed += result.violations().isEmpty() ? 0 : 1;
        }
        out.println(seeds - failed + " passed, " + failed + " failed");
        return failed == 0 ? 0 : 1;
    }
}
