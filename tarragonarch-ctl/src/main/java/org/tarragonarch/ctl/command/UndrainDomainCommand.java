package org.tarragonarch.ctl.command;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.settings.DrainedDomainsEditor;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Command;

/** Ends the drain of a failure domain. */
@Command(name = "undrain", description = "Ends the drain of a failure domain.")
final class UndrainDomainCommand extends DomainDrainCommand {
    @Override
    byte[] edit(byte[] canonical, FailureDomain changed) throws SettingsException {
        return DrainedDomainsEditor.undrain(canonical, changed);
    }

    @Override
    String summary(FailureDomain changed) {
        return "undrained failure domain " + changed;
    }
}
