package org.tarragonarch.ctl.command;

import java.util.concurrent.Callable;
import org.tarragonarch.ctl.ExitCode;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a shell completion script. */
@Command(
        name = "completion",
        description = "Prints a completion script for bash and zsh; source it in the startup file of your shell.")
final class CompletionCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Override
    public Integer call() {
        CommandLine program = command.root().commandLine();
        command.commandLine().getOut().print(AutoComplete.bash(program.getCommandName(), program));
        command.commandLine().getOut().flush();
        return ExitCode.OK.number();
    }
}
