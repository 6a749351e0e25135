package org.tarragonarch.ctl.command;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.settings.DrainedDomainsEditor;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Command;

/** Drains a failure domain. */
@Command(
        name = "drain",
        description =
                "Drains a failure domain: no task is started on its endpoints, and running tasks complete. Its nodes"
                        + " still serve callers, whose tasks run in other domains. Undo with 'rollback'.")
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
