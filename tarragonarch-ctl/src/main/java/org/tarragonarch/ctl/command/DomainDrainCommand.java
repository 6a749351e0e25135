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

/** A command that changes which failure domains the accepted configuration drains. */
abstract class DomainDrainCommand extends ChangeCommand {
    @Parameters(paramLabel = "DOMAIN", description = "The name of the failure domain.")
    private FailureDomain domain;

    /** Returns the canonical text of the accepted configuration after the change. */
    abstract byte[] edit(byte[] canonical, FailureDomain changed) throws SettingsException;

    /** Returns what the audit trail says of the change. */
    abstract String summary(FailureDomain changed);

    @Override
    public final Integer call() throws Exception {
        Connection connection = connection();
        return withGateway(connection, gateway -> change(connection, gateway));
    }

    private int change(Connection connection, ConfigurationGateway gateway) throws Exception {
        ConfigurationView accepted = gateway.newest();
        if (accepted.version().equals(ConfigurationVersion.NONE)) {
            output().printNote("no configuration was accepted yet; apply one first");
            return ExitCode.FAILED.number();
        }
        byte[] edited = edit(accepted.canonical(), domain);
        ChangeApplier maker = new ChangeApplier(gateway);
        PlannedChange planned = maker.plan(edited, CatalogReader.read(accepted.version(), edited));
        if (planned.difference().isEmpty()) {
            output().printNote("nothing to change: version " + planned.from() + " says the same");
            return ExitCode.OK.number();
        }
        int status = applyAndWait(connection, maker, planned, summary(domain));
        output().printNote(
                        "Your folder does not say so yet: change 'drained-domains' there before it is applied again.");
        return status;
    }
}
