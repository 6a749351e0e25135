package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.VersionProvider;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The top-level command of the operator program. */
@Command(
        name = "tarragonctl",
        description = "Checks, applies and rolls back configurations of tarragonarch, and operates its nodes.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        scope = ScopeType.INHERIT,
        sortOptions = false,
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {
            "0:success",
            "1:failed; the message names the step and the peer",
            "2:invalid usage, or mistakes in settings or configuration files",
            "3:conflict: another operator's change was accepted first",
            "4:accepted, but not in force everywhere within the timeout"
        },
        subcommands = {
            CheckCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            HistoryCommand.class,
            AuditCommand.class,
            RollbackCommand.class,
            StatusCommand.class,
            NodesCommand.class,
            EndpointsCommand.class,
            QueuesCommand.class,
            QuotasCommand.class,
            SharesCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            DomainCommand.class,
            SubmitCommand.class,
            ExplainCommand.class,
            TokenCommand.class,
            CompletionCommand.class
        })
public final class TarragonCtl implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "missing command");
    }
}
