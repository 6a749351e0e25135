package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands that try out a service. */
@Command(
        name = "submit",
        description = "Submits to a service through the caller API, and prints the answer.",
        subcommands = {SubmitRequestCommand.class, SubmitJobCommand.class})
final class SubmitCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "missing subcommand: request or job");
    }
}
