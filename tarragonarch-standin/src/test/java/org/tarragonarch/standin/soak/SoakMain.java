package org.tarragonarch.standin.soak;

import java.io.PrintStream;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs soaks from the command line; exits with 1 if a guarantee was violated. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = "Runs fault soaks one after another.")
public final class SoakMain implements Callable<Integer> {
    @Option(names = "--first", defaultValue = "1", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long first;

    @Option(names = "--seeds", defaultValue = "1", description = "Number of seeds.")
    private int seeds;

    @Option(names = "--nodes", defaultValue = "3", description = "Number of nodes, each a separate process.")
    private int nodes;

    @Option(names = "--endpoints", defaultValue = "4", description = "Number of endpoints.")
    private int endpoints;

    @Option(names = "--clients", defaultValue = "4", description = "Number of clients.")
    private int clients;

    @Option(names = "--faults", defaultValue = "8", description = "Number of faults per seed.")
    private int faults;

    @Option(names = "--millis", defaultValue = "4000", description = "Period in milliseconds in which faults begin.")
    private int millis;

    private final PrintStream out = System.out;

    /** Parses the arguments, runs the soaks and exits. */
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
