package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;

/** A command that reads the status of every node and prints the answers as a table. */
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
            output().printNote("failed: no node answered");
            return ExitCode.FAILED.number();
        }
        output().printTable(table(views), emptyMessage());
        return views.size() == answers.size() ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    /** Returns the table for the status of the nodes, at least one. */
    abstract Table table(ImmutableList<NodeView> views);

    /** Returns the message printed instead of an empty table. */
    abstract String emptyMessage();
}
