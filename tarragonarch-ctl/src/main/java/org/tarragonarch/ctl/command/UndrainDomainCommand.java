package org.tarragonarch.ctl.command;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.settings.DrainedDomainsEditor;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Command;

/** Takes a drained failure domain back into use. */
@Command(name = "undrain", description = "Has tasks started on the endpoints of a drained failure domain again.")
final class UndrainDomainCommand extends DomainDrainCommand {
    @Override
    byte[] edit(byte[] canonical, FailureDomain changed) throws SettingsException {
        return DrainedDomainsEditor.undrain(canonical, changed);
    }

    @Override
    String summary(FailureDomain changed) {
        return "took failure domain " + changed + " back into use";
    }
}
