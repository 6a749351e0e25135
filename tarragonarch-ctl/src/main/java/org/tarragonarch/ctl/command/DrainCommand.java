package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Holds the commands that take something out of use. */
@Command(
        name = "drain",
        description = "Takes a node or an endpoint out of use, without interrupting what runs.",
        subcommands = {DrainNodeCommand.class, DrainEndpointCommand.class})
final class DrainCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "name what to drain: node or endpoint");
    }
}
