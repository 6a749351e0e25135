package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;

/** Shows each node that is asked. */
@Command(
        name = "status",
        description = "Shows each node asked: its failure domain, phase, version in force, open submissions, and how"
                + " many of its endpoints and peers it counts as live.")
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
