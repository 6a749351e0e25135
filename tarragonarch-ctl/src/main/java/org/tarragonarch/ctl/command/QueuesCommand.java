package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;

/** Prints the waiting and running tasks. */
@Command(name = "queues", description = "Prints the waiting and running tasks per node, service and team.")
final class QueuesCommand extends NodeTableCommand {
    @Override
    Table table(ImmutableList<NodeView> views) {
        Table table = Table.of("node", "service", "team", "queued-tasks", "running-tasks");
        for (NodeView view : views) {
            view.queues()
                    .forEach(queue -> table.row(
                            view.node(), queue.service(), queue.team(), queue.queuedTasks(), queue.runningTasks()));
        }
        return table;
    }

    @Override
    String emptyMessage() {
        return "no waiting or running tasks";
    }
}
