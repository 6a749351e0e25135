package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.model.id.EndpointId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Has every node asked give an endpoint no new task. */
@Command(
        name = "endpoint",
        description = "Has every node asked give an endpoint no new task; tasks that run there end as usual."
                + " A node that is not asked, or starts later, does not know of it.")
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
