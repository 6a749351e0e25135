package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.EndpointView;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the endpoints as each node sees them. */
@Command(
        name = "endpoints",
        description =
                "Shows the endpoints as each node asked sees them: health and why, slots, and the node's own tasks"
                        + " in flight there.")
final class EndpointsCommand extends NodeTableCommand {
    @Option(names = "--not-live", description = "Only endpoints that get no work, and why.")
    private boolean notLive;

    @Option(names = "--domain", paramLabel = "DOMAIN", description = "Only endpoints of this failure domain.")
    private String domain;

    @Override
    Table table(ImmutableList<NodeView> views) {
        Table table = Table.of("endpoint", "domain", "seen-by", "health", "slots", "in-flight", "why");
        for (NodeView view : views) {
            for (EndpointView endpoint : view.endpoints()) {
                if (shown(endpoint)) {
                    table.row(
                            endpoint.endpoint(),
                            endpoint.domain(),
                            view.node(),
                            endpoint.health(),
                            endpoint.slots(),
                            endpoint.inFlight(),
                            endpoint.why());
                }
            }
        }
        return table;
    }

    @Override
    String sentenceIfEmpty() {
        return notLive ? "every endpoint is live" : "no endpoint";
    }

    private boolean shown(EndpointView endpoint) {
        boolean inDomain = domain == null || domain.equals(endpoint.domain());
        return inDomain && !(notLive && endpoint.live());
    }
}
