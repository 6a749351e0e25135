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

/** Shows the endpoints, one line for each health that nodes see. */
@Command(
        name = "endpoints",
        description = "Shows the endpoints: health and why, slots, and the tasks in flight of the nodes that see it so."
                + " An endpoint that nodes see differently has several lines.")
final class EndpointsCommand extends NodeTableCommand {
    @Option(names = "--not-live", description = "Only endpoints that get no work, and why.")
    private boolean notLive;

    @Option(names = "--domain", paramLabel = "DOMAIN", description = "Only endpoints of this failure domain.")
    private String domain;

    @Override
    Table table(ImmutableList<NodeView> views) {
        Map<String, List<Sighting>> sightings = views.stream()
                .flatMap(view -> view.endpoints().stream().map(endpoint -> new Sighting(view.node(), endpoint)))
                .filter(sighting -> shown(sighting.endpoint()))
                .collect(Collectors.groupingBy(Sighting::key, TreeMap::new, Collectors.toList()));
        Table table = Table.of("endpoint", "domain", "health", "slots", "in-flight", "seen-by", "why");
        sightings.values().forEach(same -> row(table, same, views.size()));
        return table;
    }

    @Override
    String emptyMessage() {
        return notLive ? "every endpoint is live" : "no endpoint";
    }

    private boolean shown(EndpointView endpoint) {
        boolean inDomain = domain == null || domain.equals(endpoint.domain());
        return inDomain && !(notLive && endpoint.isLive());
    }

    private void row(Table table, Collection<Sighting> same, int nodes) {
        EndpointView endpoint = same.iterator().next().endpoint();
        // A program needs the names also where all see the same; a person does not.
        String seenBy = same.size() == nodes && !output().isJson()
                ? "all " + nodes
                : same.stream().map(Sighting::node).collect(Collectors.joining(" "));
        table.row(
                endpoint.endpoint(),
                endpoint.domain(),
                endpoint.health(),
                endpoint.slots(),
                same.stream()
                        .mapToLong(sighting -> sighting.endpoint().inFlight())
                        .sum(),
                seenBy,
                endpoint.reason());
    }

    /** One node's view of one endpoint. */
    private record Sighting(String node, EndpointView endpoint) {
        String key() {
            return endpoint.endpoint() + " " + endpoint.health() + " " + endpoint.reason();
        }
    }
}
