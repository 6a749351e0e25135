package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.model.id.EndpointId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Drains an endpoint at every given node. */
@Command(
        name = "endpoint",
        description = "Drains an endpoint: the given nodes send it no new tasks, and running tasks complete."
                + " Nodes that are not given or start later still use the endpoint.")
final class DrainEndpointCommand extends ConnectedCommand {
    @Parameters(paramLabel = "ENDPOINT", description = "The endpoint's name; see 'tarragonctl endpoints'.")
    private EndpointId endpoint;

    @Override
    public Integer call() throws Exception {
        try (AdminNodes nodes = nodes(connection())) {
            return new EndpointDrainAction(endpoint, true).run(nodes, output());
        }
    }
}
