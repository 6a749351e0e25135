package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.model.id.EndpointId;

/** Drains or undrains an endpoint at every given node, and prints the results. */
final class EndpointDrainAction {
    private final EndpointId endpoint;
    private final boolean drain;

    EndpointDrainAction(EndpointId endpoint, boolean drain) {
        this.endpoint = endpoint;
        this.drain = drain;
    }

    int run(AdminNodes nodes, Output output) {
        ImmutableList<AdminResult<String>> results = nodes.callAll(this::call);
        Table table = Table.of("address", "answer");
        for (AdminResult<String> result : results) {
            String text = result.value()
                    .orElseGet(() -> result.failure().orElseThrow().getMessage());
            table.row(result.node(), text);
        }
        output.printTable(table, "");
        boolean succeeded = results.stream().allMatch(result -> result.value().isPresent());
        return succeeded ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    private String call(AdminClient client) throws AdminException {
        if (drain) {
            client.drainEndpoint(endpoint);
        } else {
            client.undrainEndpoint(endpoint);
        }
        NodeView view = client.status();
        return view.endpoints().stream()
                .filter(known -> known.endpoint().equals(endpoint.value()))
                .map(known -> known.health() + ", " + known.inFlight() + " task(s) in flight: " + known.reason())
                .findFirst()
                .orElse("done; the node does not list the endpoint");
    }
}
