package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;

/** Prints the quota use of the teams. */
@Command(
        name = "quotas",
        description = "Prints the running tasks of each team on a node, the node's share of its quota, and the quota of"
                + " the failure domain.")
final class QuotasCommand extends NodeTableCommand {
    @Override
    Table table(ImmutableList<NodeView> views) {
        Table table = Table.of("node", "team", "running", "share", "quota");
        for (NodeView view : views) {
            view.quotas()
                    .forEach(quota ->
                            table.row(view.node(), quota.team(), quota.running(), quota.share(), quota.quota()));
        }
        return table;
    }

    @Override
    String emptyMessage() {
        return "no running tasks";
    }
}
