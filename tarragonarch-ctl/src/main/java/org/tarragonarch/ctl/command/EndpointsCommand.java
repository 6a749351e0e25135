package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tarragonarch.ctl.admin.EndpointView;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the endpoints, with one row for each health that nodes report. */
@Command(
        name = "endpoints",
        description =
                "Prints the endpoints: health with its reason, slots, and tasks in flight. An endpoint has several"
                        + " rows if nodes report different health.")
final class EndpointsCommand extends NodeTableCommand {
    @Option(names = "--not-live", description = "Only endpoints that get no tasks.")
    private boolean notLive;

    @Option(names = "--domain", paramLabel = "DOMAIN", description = "Only endpoints of this failure domain.")
    private String domain;

    @Override
    Table table(ImmutableList<NodeView> views) {
        Map<String, List<Observation>> observations = views.stream()
                .flatMap(view -> view.endpoints().stream().map(endpoint -> new Observation(view.node(), endpoint)))
                .filter(observation -> isIncluded(observation.endpoint()))
                .collect(Collectors.groupingBy(Observation::key, TreeMap::new, Collectors.toList()));
        Table table = Table.of("endpoint", "domain", "health", "slots", "in-flight", "seen-by", "why");
        observations.values().forEach(same -> addRow(table, same, views.size()));
        return table;
    }

    @Override
    String emptyMessage() {
        return notLive ? "every endpoint is live" : "no endpoint";
    }

    private boolean isIncluded(EndpointView endpoint) {
        boolean inDomain = domain == null || domain.equals(endpoint.domain());
        return inDomain && !(notLive && endpoint.isLive());
    }

    private void addRow(Table table, Collection<Observation> same, int nodes) {
        EndpointView endpoint = same.iterator().next().endpoint();
        // JSON output always lists the node names; text output shortens the full list.
        String seenBy = same.size() == nodes && !output().isJson()
                ? "all " + nodes
                : same.stream().map(Observation::node).collect(Collectors.joining(" "));
        table.row(
                endpoint.endpoint(),
                endpoint.domain(),
                endpoint.health(),
                endpoint.slots(),
                same.stream()
                        .mapToLong(observation -> observation.endpoint().inFlight())
                        .sum(),
                seenBy,
                endpoint.reason());
    }

    /** An endpoint as seen by a node. */
    private record Observation(String node, EndpointView endpoint) {
        String key() {
            return endpoint.endpoint() + " " + endpoint.health() + " " + endpoint.reason();
        }
    }
}
