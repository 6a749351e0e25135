package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.model.id.EndpointId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Has every node asked give an endpoint tasks again. */
@Command(name = "endpoint", description = "Has every node asked give an endpoint tasks again.")
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
