package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands that drain nodes and endpoints. */
@Command(
        name = "drain",
        description = "Drains a node or an endpoint without interrupting running tasks.",
        subcommands = {DrainNodeCommand.class, DrainEndpointCommand.class})
final class DrainCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "missing subcommand: node or endpoint");
    }
}
