package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Holds the command that takes an endpoint back into use; a node that drains exits and is started again. */
@Command(
        name = "undrain",
        description = "Takes an endpoint back into use. A drained node cannot be: it exits, and is started again.",
        subcommands = {UndrainEndpointCommand.class})
final class UndrainCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "name what to take back: endpoint");
    }
}
