package org.tarragonarch.ctl.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands that drain and undrain failure domains. */
@Command(
        name = "domain",
        description = "Drains a failure domain, or ends its drain.",
        subcommands = {DrainDomainCommand.class, UndrainDomainCommand.class})
final class DomainCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "missing subcommand: drain or undrain");
    }
}
