package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs scenario files and prints the failed expectations of each. */
@Command(
        name = "scenario",
        mixinStandardHelpOptions = true,
        description = "Runs scenarios against the core and prints the failed expectations.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:all expectations held", "1:an expectation failed", "2:usage, or a file that cannot be read"})
public final class ScenarioMain implements Callable<Integer> {
    private static final int UNREADABLE = 2;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "The scenarios.")
    private List<Path> files;

    @Option(names = "--record", paramLabel = "FOLDER", description = "Record a trace of each run of each node.")
    private Path traces;

    private ScenarioMain() {}

    /** Runs the scenarios and exits with the code listed in the usage. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ScenarioMain()).execute(arguments));
    }

    @Override
    public Integer call() {
        boolean allHeld = true;
        for (Path file : files) {
            try {
                Scenario scenario = ScenarioParser.parse(
                        Files.readString(file), file.toAbsolutePath().getParent());
                ImmutableList<String> failures = traces == null ? scenario.run() : scenario.runRecorded(traces);
                System.out.println(file + (failures.isEmpty() ? ": as expected" : ":"));
                failures.forEach(failure -> System.out.println("  " + failure));
                allHeld &= failures.isEmpty();
            } catch (ScenarioSyntaxException | IOException e) {
                System.err.println(file + ": " + e.getMessage());
                return UNREADABLE;
            }
        }
        return allHeld ? 0 : 1;
    }
}
