package org.tarragonarch.standin.explore;

import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the explorer over a range of seeds and prints what it finds. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        description = "Runs seeded random plans against the core and checks the promises after every step.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:no promise was broken", "1:a promise was broken", "2:usage"})
public final class ExploreMain implements Callable<Integer> {
    @Option(names = "--first", description = "The first seed (default: ${DEFAULT-VALUE}).")
    private long first = 1;

    @Option(names = "--seeds", description = "The number of seeds (default: ${DEFAULT-VALUE}).")
    private long seeds = 1_000;

    @Option(names = "--most", description = "Stop after this many findings (default: ${DEFAULT-VALUE}).")
    private int most = 3;

    private ExploreMain() {}

    /** Explores the seeds and exits with the code listed in the usage. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ExploreMain()).execute(arguments));
    }

    @Override
    public Integer call() {
        Explorer explorer = new Explorer();
        int findings = 0;
        for (long seed = first; seed < first + seeds && findings < most; seed++) {
            Optional<Explorer.Finding> finding = explorer.run(seed);
            if (finding.isPresent()) {
                findings++;
                System.out.println(finding.get());
            }
        }
        System.out.printf(
                "%d seeds from %d, %d steps, %d submissions, %d task starts, %d findings%n",
                seeds, first, explorer.steps(), explorer.submissions(), explorer.starts(), findings);
        return findings == 0 ? 0 : 1;
    }
}
