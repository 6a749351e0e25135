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

/** Asks every node to drain or undrain an endpoint, and reports what each answered. */
final class EndpointDrainAction {
    private final EndpointId endpoint;
    private final boolean drain;

    EndpointDrainAction(EndpointId endpoint, boolean drain) {
        this.endpoint = endpoint;
        this.drain = drain;
    }

    int run(AdminNodes nodes, Output output) {
        ImmutableList<AdminResult<String>> answers = nodes.callAll(this::ask);
        Table table = Table.of("address", "answer");
        for (AdminResult<String> answer : answers) {
            String words = answer.value()
                    .orElseGet(() -> answer.failure().orElseThrow().getMessage());
            table.row(answer.node(), words);
        }
        output.printTable(table, "");
        boolean everywhere = answers.stream().allMatch(answer -> answer.value().isPresent());
        return everywhere ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    private String ask(AdminClient client) throws AdminException {
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
