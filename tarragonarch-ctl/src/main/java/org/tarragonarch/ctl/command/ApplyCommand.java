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

/** Makes a folder the configuration. */
@Command(
        name = "apply",
        description = "Makes a folder the configuration, and waits until it is in force in every failure domain.",
        footer =
                "A node without a configuration knows no operator, so the first one goes straight to the platform: give"
                        + " --platform and --operator.")
final class ApplyCommand extends ChangeCommand {
    @Mixin
    private FolderArgument folder;

    @Option(
            names = "--from",
            paramLabel = "VERSION",
            description = "Apply only if this is the accepted version: the one that your folder was made from.")
    private ConfigurationVersion from;

    @Option(
            names = {"-m", "--summary"},
            paramLabel = "TEXT",
            description = "What the audit trail says of the change; what changes, unless stated.")
    private String summary;

    @Override
    public Integer call() throws Exception {
        CheckedConfiguration checked = folder.read();
        Connection connection = connection();
        return withGateway(connection, gateway -> apply(connection, gateway, checked));
    }

    private int apply(Connection connection, ConfigurationGateway gateway, CheckedConfiguration checked)
            throws Exception {
        ChangeApplier maker = new ChangeApplier(gateway);
        PlannedChange planned = maker.plan(checked.canonical(), checked.catalog());
        if (from != null && !from.equals(planned.from())) {
            throw new ChangeConflictException(
                    folder.toString(),
                    "your folder was made from version " + from + ", but version " + planned.from() + " is accepted");
        }
        if (planned.difference().isEmpty()) {
            return tellNoChange(planned);
        }
        if (!output().isJson()) {
            output().printLine("against version " + planned.from() + ":");
            DifferenceTable.print(planned.difference(), output());
        }
        return applyAndWait(
                connection,
                maker,
                planned,
                summary == null ? planned.difference().summary() : summary);
    }

    private int tellNoChange(PlannedChange planned) {
        if (output().isJson()) {
            output().printJson(JsonNodeFactory.instance
                    .objectNode()
                    .put("version", planned.from().value())
                    .put("changed", false));
        } else {
            output().printLine("nothing to change: version " + planned.from() + " says the same");
        }
        return ExitCode.OK.number();
    }
}
