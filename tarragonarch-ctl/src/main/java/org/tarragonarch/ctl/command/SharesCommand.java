package org.tarragonarch.ctl.command;

import java.io.IOException;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.ctl.share.MetricsPage;
import org.tarragonarch.model.id.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the state of the shares at each holder. */
@Command(name = "shares", description = "Prints the shares of nodes on the users' platform, read from their metrics.")
final class SharesCommand implements Callable<Integer> {
    @Option(
            names = "--metrics",
            required = true,
            arity = "1..*",
            paramLabel = "ADDRESS",
            description = "Metrics addresses of nodes, as ip:port.")
    private List<String> nodes;

    @Mixin
    private Output output;

    @Override
    public Integer call() {
        Table table = Table.of("node", "priority", "allotted", "used", "lent", "waiting", "refused", "elsewhere");
        boolean allSucceeded = true;
        for (String node : nodes) {
            try {
                addRows(table, node, MetricsPage.read(Address.parse(node)));
            } catch (IOException | IllegalArgumentException e) {
                output.printNote(node + ": cannot be read: " + e.getMessage());
                allSucceeded = false;
            }
        }
        output.printTable(table, "no shares");
        return allSucceeded ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    private static void addRows(Table table, String node, MetricsPage page) {
        for (int priority : new TreeSet<>(page.values().rowKeySet())) {
            table.row(
                    node,
                    priority,
                    value(page, priority, "allotted_cores"),
                    value(page, priority, "used_cores"),
                    value(page, priority, "lent_cores"),
                    value(page, priority, "waiting_cores"),
                    value(page, priority, "jobs_refused_total"),
                    value(page, priority, "used_elsewhere_cores"));
        }
    }

    private static long value(MetricsPage page, int priority, String name) {
        Double value = page.values().get(priority, name);
        return value == null ? 0 : Math.round(value);
    }
}
