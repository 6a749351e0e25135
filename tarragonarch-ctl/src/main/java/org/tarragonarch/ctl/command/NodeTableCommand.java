package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;

/** A command that asks every node for its status and prints one table of the answers. */
abstract class NodeTableCommand extends ConnectedCommand {
    @Override
    public Integer call() throws Exception {
        ImmutableList<AdminResult<NodeView>> answers;
        try (AdminNodes nodes = nodes(connection())) {
            answers = nodes.callAll(AdminClient::status);
        }
        ImmutableList<NodeView> views =
                answers.stream().flatMap(answer -> answer.value().stream()).collect(ImmutableList.toImmutableList());
        answers.stream()
                .flatMap(answer -> answer.failure().stream())
                .map(AdminException::getMessage)
                .forEach(output()::printNote);
        if (views.isEmpty()) {
            output().printNote("failed: none of the nodes asked gave an answer");
            return ExitCode.FAILED.number();
        }
        output().printTable(table(views), emptyMessage());
        return views.size() == answers.size() ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    /** Returns the table of what the nodes say; never called without a node. */
    abstract Table table(ImmutableList<NodeView> views);

    /** Returns what to say in place of an empty table. */
    abstract String emptyMessage();
}
