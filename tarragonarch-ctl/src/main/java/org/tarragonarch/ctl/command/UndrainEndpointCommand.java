package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.model.id.EndpointId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Ends the drain of an endpoint at every given node. */
@Command(name = "endpoint", description = "Ends the drain of an endpoint at the given nodes.")
final class UndrainEndpointCommand extends ConnectedCommand {
    @Parameters(paramLabel = "ENDPOINT", description = "The endpoint's name; see 'tarragonctl endpoints'.")
    private EndpointId endpoint;

    @Override
    public Integer call() throws Exception {
        try (AdminNodes nodes = nodes(connection())) {
            return new EndpointDrainAction(endpoint, false).run(nodes, output());
        }
    }
}
