package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.ctl.change.ChangeApplier;
import org.tarragonarch.ctl.change.ConfigurationGateway;
import org.tarragonarch.ctl.change.PlannedChange;
import org.tarragonarch.ctl.connection.Connection;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.settings.CatalogReader;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Parameters;

/** A command that edits the drained failure domains of the accepted configuration. */
abstract class DomainDrainCommand extends ChangeCommand {
    @Parameters(paramLabel = "DOMAIN", description = "The name of the failure domain.")
    private FailureDomain domain;

    /** Returns the edited canonical text of the accepted configuration. */
    abstract byte[] edit(byte[] canonical, FailureDomain changed) throws SettingsException;

    /** Returns the summary for the audit trail. */
    abstract String summary(FailureDomain changed);

    @Override
    public final Integer call() throws Exception {
        Connection connection = connection();
        return withGateway(connection, gateway -> change(connection, gateway));
    }

    private int change(Connection connection, ConfigurationGateway gateway) throws Exception {
        ConfigurationView accepted = gateway.newest();
        if (accepted.version().equals(ConfigurationVersion.NONE)) {
            output().printNote("no configuration is accepted yet; apply one first");
            return ExitCode.FAILED.number();
        }
        byte[] edited = edit(accepted.canonical(), domain);
        ChangeApplier applier = new ChangeApplier(gateway);
        PlannedChange planned = applier.plan(edited, CatalogReader.read(accepted.version(), edited));
        if (planned.difference().isEmpty()) {
            output().printNote("nothing to change: version " + planned.from() + " is the same");
            return ExitCode.OK.number();
        }
        int status = applyAndWait(connection, applier, planned, summary(domain));
        output().printNote("Update 'drained-domains' in your folder too before you apply it again.");
        return status;
    }
}
