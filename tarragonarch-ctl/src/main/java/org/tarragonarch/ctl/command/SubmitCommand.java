package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Holds the commands that try a service. */
@Command(
        name = "submit",
        description = "Tries a service through the caller API, and prints the answer.",
        subcommands = {SubmitRequestCommand.class, SubmitJobCommand.class})
final class SubmitCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "name what to submit: request or job");
    }
}
