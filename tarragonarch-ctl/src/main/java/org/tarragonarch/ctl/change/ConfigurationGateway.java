package org.tarragonarch.ctl.change;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.ctl.admin.ChangeRequest;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.platform.AuditRecord;

/** The way to the accepted configurations: through nodes, or straight to the platform. */
public interface ConfigurationGateway {
    /**
     * Reads the newest accepted configuration that can be seen; version 0 where there is none.
     *
     * @throws StepException if none can be seen
     */
    ConfigurationView newest() throws StepException;

    /**
     * Reads an accepted configuration by its version.
     *
     * @throws StepException if there is no such version, or it cannot be had
     */
    ConfigurationView load(ConfigurationVersion version) throws StepException;

    /**
     * Has a change accepted.
     *
     * @return the version under which it was accepted
     * @throws ChangeConflictException if another change was accepted first
     * @throws ChangeOutcomeUnknownException if it cannot be said whether it was accepted
     * @throws StepException if it certainly was not accepted
     */
    ConfigurationVersion accept(ChangeRequest change) throws StepException;

    /**
     * Reads the audit trail, the newest change first.
     *
     * @throws StepException if it cannot be had
     */
    ImmutableList<AuditRecord> audit(int limit) throws StepException;
}
