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

/** Makes an earlier configuration the newest again. */
@Command(
        name = "rollback",
        description =
                "Makes what an earlier version said the configuration again, as a new version; versions only go up.")
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
        ChangeApplier maker = new ChangeApplier(gateway);
        PlannedChange planned = maker.plan(earlier.canonical(), catalog);
        if (planned.difference().isEmpty()) {
            output().printNote("nothing to change: version " + planned.from() + " says the same as version " + target);
            return ExitCode.OK.number();
        }
        if (!output().isJson()) {
            output().printLine("against version " + planned.from() + ":");
            DifferenceTable.print(planned.difference(), output());
        }
        String summary =
                "rolled back to version " + target + ": " + planned.difference().summary();
        int status = applyAndWait(connection, maker, planned, summary);
        output().printNote("Your folder may still say what was undone: mend it before it is applied again.");
        return status;
    }
}
