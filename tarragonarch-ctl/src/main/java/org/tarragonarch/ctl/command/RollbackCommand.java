package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.ctl.change.ChangeApplier;
import org.tarragonarch.ctl.change.ConfigurationGateway;
import org.tarragonarch.ctl.change.PlannedChange;
import org.tarragonarch.ctl.connection.Connection;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.settings.CatalogReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Applies an earlier version of the configuration again. */
@Command(name = "rollback", description = "Applies the content of an earlier version again, as a new version.")
final class RollbackCommand extends ChangeCommand {
    @Parameters(paramLabel = "VERSION", description = "The version to go back to; see 'tarragonctl history'.")
    private ConfigurationVersion target;

    @Override
    public Integer call() throws Exception {
        Connection connection = connection();
        return withGateway(connection, gateway -> rollBack(connection, gateway));
    }

    private int rollBack(Connection connection, ConfigurationGateway gateway) throws Exception {
        ConfigurationView earlier = gateway.load(target);
        ServiceCatalog catalog = CatalogReader.read(target, earlier.canonical());
        ChangeApplier applier = new ChangeApplier(gateway);
        PlannedChange planned = applier.plan(earlier.canonical(), catalog);
        if (planned.difference().isEmpty()) {
            output().printNote("nothing to change: version " + planned.from() + " is the same as version " + target);
            return ExitCode.OK.number();
        }
        if (!output().isJson()) {
            output().printLine("against version " + planned.from() + ":");
            DifferenceTable.print(planned.difference(), output());
        }
        String summary =
                "rolled back to version " + target + ": " + planned.difference().summary();
        int status = applyAndWait(connection, applier, planned, summary);
        output().printNote("Your folder may still contain the change: update it before you apply it again.");
        return status;
    }
}
