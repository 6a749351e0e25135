package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.AdminAnswer;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.model.id.EndpointId;

/** Asks every node to drain or undrain an endpoint, and reports what each answered. */
final class EndpointDrainWork {
    private final EndpointId endpoint;
    private final boolean drain;

    EndpointDrainWork(EndpointId endpoint, boolean drain) {
        this.endpoint = endpoint;
        this.drain = drain;
    }

    int run(AdminNodes nodes, Output output) {
        ImmutableList<AdminAnswer<String>> answers = nodes.askAll(this::ask);
        Table table = Table.of("address", "answer");
        for (AdminAnswer<String> answer : answers) {
            String words = answer.value()
                    .orElseGet(() -> answer.failure().orElseThrow().getMessage());
            table.row(answer.node(), words);
        }
        output.table(table, "");
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
                .map(known -> known.health() + ", " + known.inFlight() + " task(s) in flight: " + known.why())
                .findFirst()
                .orElse("done; the node does not list the endpoint");
    }
}
