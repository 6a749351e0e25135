package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;

/** Prints the status of each node that is called. */
@Command(
        name = "status",
        description = "Prints the status of each node: failure domain, phase, version in force, open submissions, and"
                + " live endpoints and peers.")
final class StatusCommand extends NodeTableCommand {
    @Override
    Table table(ImmutableList<NodeView> views) {
        Table table = Table.of("node", "domain", "phase", "configuration", "submissions", "endpoints", "peers");
        for (NodeView view : views) {
            table.row(
                    view.node(),
                    view.domain(),
                    view.phase(),
                    view.configuration().value(),
                    view.submissions(),
                    view.liveEndpoints() + "/" + view.endpoints().size(),
                    view.livePeers() + "/" + view.peers().size());
        }
        return table;
    }

    @Override
    String emptyMessage() {
        return "no node";
    }
}
