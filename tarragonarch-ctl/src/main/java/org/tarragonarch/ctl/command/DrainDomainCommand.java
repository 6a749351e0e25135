package org.tarragonarch.ctl.command;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.settings.DrainedDomainsEditor;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Command;

/** Drains a failure domain. */
@Command(
        name = "drain",
        description = "Has no task started on the endpoints of a failure domain; what runs there ends as usual."
                + " Its nodes go on serving callers, whose tasks run in other domains. 'rollback' undoes it.")
final class DrainDomainCommand extends DomainDrainCommand {
    @Override
    byte[] edit(byte[] canonical, FailureDomain changed) throws SettingsException {
        return DrainedDomainsEditor.drain(canonical, changed);
    }

    @Override
    String summary(FailureDomain changed) {
        return "drained failure domain " + changed;
    }
}
