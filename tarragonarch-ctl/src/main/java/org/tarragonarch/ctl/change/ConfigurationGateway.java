package org.tarragonarch.ctl.change;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.ChangeRequest;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.platform.AuditRecord;

/** Access to the accepted configurations, through nodes or directly at the platform. */
public interface ConfigurationGateway {
    /**
     * Reads the newest accepted configuration, or {@link ConfigurationView#NONE} if there is none.
     *
     * @throws StepException if the configuration cannot be read
     */
    ConfigurationView newest() throws StepException;

    /**
     * Reads an accepted configuration by its version.
     *
     * @throws StepException if there is no such version, or it cannot be read
     */
    ConfigurationView load(ConfigurationVersion version) throws StepException;

    /**
     * Submits a change for acceptance.
     *
     * @return the version under which it was accepted
     * @throws ChangeConflictException if another change was accepted first
     * @throws ChangeOutcomeUnknownException if it is unknown whether the change was accepted
     * @throws StepException if the change was not accepted
     */
    ConfigurationVersion accept(ChangeRequest change) throws StepException;

    /**
     * Reads the latest changes of the audit trail, the newest first.
     *
     * @throws StepException if the audit trail cannot be read
     */
    ImmutableList<AuditRecord> audit(int limit) throws StepException;
}
