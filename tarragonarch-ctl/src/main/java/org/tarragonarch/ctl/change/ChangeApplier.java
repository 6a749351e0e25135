package org.tarragonarch.ctl.change;

import com.google.common.base.Ascii;
import java.util.Optional;
import java.util.UUID;
import org.tarragonarch.ctl.admin.ChangeRequest;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.settings.CatalogDifference;
import org.tarragonarch.settings.CatalogReader;
import org.tarragonarch.settings.SettingsException;

/** Compares a configuration with the accepted one and applies the change. */
public final class ChangeApplier {
    /** The longest summary that nodes accept, in characters. */
    private static final int MAX_SUMMARY = 500;

    private final ConfigurationGateway gateway;

    /** Creates an applier that uses the gateway. */
    public ChangeApplier(ConfigurationGateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Returns the change from the accepted configuration to the given one.
     *
     * @param canonical the canonical text of the configuration
     * @param catalog the catalog that the text defines
     * @throws StepException if the accepted configuration cannot be read
     */
    public PlannedChange plan(byte[] canonical, ServiceCatalog catalog) throws StepException {
        ConfigurationView accepted = gateway.newest();
        CatalogDifference difference = CatalogDifference.between(catalogOf(accepted), catalog);
        return new PlannedChange(accepted.version(), difference, canonical);
    }

    /**
     * Submits a planned change for acceptance.
     *
     * @param summary the summary for the audit trail, truncated if it is too long
     * @return the new version
     * @throws ChangeConflictException if another change was accepted since it was planned
     * @throws ChangeOutcomeUnknownException if it is unknown whether the change was accepted
     * @throws StepException if the change was not accepted
     */
    public ConfigurationVersion apply(PlannedChange planned, String summary) throws StepException {
        ChangeId changeId = new ChangeId(UUID.randomUUID().toString());
        String truncated = Ascii.truncate(summary, MAX_SUMMARY, "...");
        return gateway.accept(new ChangeRequest(planned.from(), changeId, truncated, planned.canonical()));
    }

    private static Optional<ServiceCatalog> catalogOf(ConfigurationView view) throws SettingsException {
        return view.version().equals(ConfigurationVersion.NONE)
                ? Optional.empty()
                : Optional.of(CatalogReader.read(view.version(), view.canonical()));
    }
}
