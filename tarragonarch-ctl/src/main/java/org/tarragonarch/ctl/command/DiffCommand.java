package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.change.ChangeApplier;
import org.tarragonarch.ctl.change.PlannedChange;
import org.tarragonarch.settings.CheckedConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows what applying a folder would change. */
@Command(
        name = "diff",
        description = "Shows what applying a folder would change, per service, team, caller and operator.")
final class DiffCommand extends ConnectedCommand {
    @Mixin
    private FolderArgument folder;

    @Override
    public Integer call() throws Exception {
        CheckedConfiguration checked = folder.read();
        return withGateway(connection(), gateway -> {
            PlannedChange planned = new ChangeApplier(gateway).plan(checked.canonical(), checked.catalog());
            if (!output().isJson()) {
                output().printLine(
                                planned.difference().isEmpty()
                                        ? folder + " is the same as version " + planned.from()
                                        : "against version " + planned.from() + ":");
            }
            DifferenceTable.print(planned.difference(), output());
            return ExitCode.OK.number();
        });
    }
}
