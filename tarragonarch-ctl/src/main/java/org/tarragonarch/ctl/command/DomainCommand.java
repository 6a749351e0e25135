package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Holds the commands that take a failure domain out of use and back. */
@Command(
        name = "domain",
        description = "Drains a failure domain, or takes it back into use.",
        subcommands = {DrainDomainCommand.class, UndrainDomainCommand.class})
final class DomainCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "say what to do with the domain: drain or undrain");
    }
}
