package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.change.ChangeApplier;
import org.tarragonarch.ctl.change.ChangeConflictException;
import org.tarragonarch.ctl.change.ConfigurationGateway;
import org.tarragonarch.ctl.change.PlannedChange;
import org.tarragonarch.ctl.connection.Connection;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.settings.CheckedConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Applies a configuration folder. */
@Command(
        name = "apply",
        description = "Applies a configuration folder and waits until it is in force in every failure domain.",
        footer = "A node without a configuration knows no operators, so apply the first one directly at the platform,"
                + " with --platform and --operator.")
final class ApplyCommand extends ChangeCommand {
    @Mixin
    private FolderArgument folder;

    @Option(
            names = "--from",
            paramLabel = "VERSION",
            description = "Apply only if this version, on which your folder is based, is still the accepted one.")
    private ConfigurationVersion from;

    @Option(
            names = {"-m", "--summary"},
            paramLabel = "TEXT",
            description = "Summary for the audit trail; the default lists the changed definitions.")
    private String summary;

    @Override
    public Integer call() throws Exception {
        CheckedConfiguration checked = folder.read();
        Connection connection = connection();
        return withGateway(connection, gateway -> apply(connection, gateway, checked));
    }

    private int apply(Connection connection, ConfigurationGateway gateway, CheckedConfiguration checked)
            throws Exception {
        ChangeApplier applier = new ChangeApplier(gateway);
        PlannedChange planned = applier.plan(checked.canonical(), checked.catalog());
        if (from != null && !from.equals(planned.from())) {
            throw new ChangeConflictException(
                    folder.toString(),
                    "your folder is based on version " + from + ", but version " + planned.from()
                            + " is the accepted one");
        }
        if (planned.difference().isEmpty()) {
            return printNoChange(planned);
        }
        if (!output().isJson()) {
            output().printLine("against version " + planned.from() + ":");
            DifferenceTable.print(planned.difference(), output());
        }
        return applyAndWait(
                connection,
                applier,
                planned,
                summary == null ? planned.difference().summary() : summary);
    }

    private int printNoChange(PlannedChange planned) {
        if (output().isJson()) {
            output().printJson(JsonNodeFactory.instance
                    .objectNode()
                    .put("version", planned.from().value())
                    .put("changed", false));
        } else {
            output().printLine("nothing to change: version " + planned.from() + " is the same");
        }
        return ExitCode.OK.number();
    }
}
