package org.tarragonarch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints several results of the load driver side by side. */
@Command(name = "compare", mixinStandardHelpOptions = true, description = "Results of the load driver, side by side.")
public final class CompareMain implements Callable<Integer> {
    private static final String ROW = "%-14s %9s %8s %8s %8s %8s %9s %10s %10s %10s%n";

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "The result files; a row is named after its file.")
    private List<Path> files = List.of();

    private CompareMain() {}

    /** Prints the table and exits. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new CompareMain()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException {
        System.out.printf(
                Locale.ROOT,
                ROW,
                "result",
                "complete",
                "other",
                "p50/idl",
                "p95/idl",
                "p99/idl",
                "p99 ms",
                "refused/st",
                "reports/st",
                "useful");
        for (Path file : files) {
            print(file);
        }
        return CommandLine.ExitCode.OK;
    }

    private static void print(Path file) throws IOException {
        JsonNode result = new ObjectMapper().readTree(file.toFile());
        JsonNode ratio = result.path("ratio-to-ideal");
        long complete = result.path("outcomes").path("complete").asLong();
        double starts = Math.max(1, result.path("complete-tasks").asDouble());
        System.out.printf(
                Locale.ROOT,
                ROW,
                file.getFileName().toString().replace(".json", ""),
                complete,
                result.path("sent").asLong() - complete,
                text(ratio, "p50"),
                text(ratio, "p95"),
                text(ratio, "p99"),
                text(result.path("response-ms"), "p99"),
                wasted(result, "refused-send", starts),
                wasted(result, "report", starts),
                text(result, "useful-share-while-arriving"));
    }

    private static String text(JsonNode node, String name) {
        return String.format(Locale.ROOT, "%.3f", node.path(name).asDouble());
    }

    private static String wasted(JsonNode result, String kind, double starts) {
        String counter = "tarragonarch_wasted_messages_total{kind=\"" + kind + "\"}";
        double count = result.path("counters").path("nodes").path(counter).asDouble();
        return String.format(Locale.ROOT, "%.4f", count / starts);
    }
}
