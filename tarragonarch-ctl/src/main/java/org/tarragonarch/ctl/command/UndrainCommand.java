package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands that end a drain; a drained node exits and must be started again. */
@Command(
        name = "undrain",
        description = "Ends the drain of an endpoint. A drained node exits and must be started again.",
        subcommands = {UndrainEndpointCommand.class})
final class UndrainCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "missing subcommand: endpoint");
    }
}
