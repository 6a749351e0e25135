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

/** Compares a configuration with the accepted one and has the change accepted. */
public final class ChangeApplier {
    /** The longest summary that nodes take. */
    private static final int MAX_SUMMARY = 500;

    private final ConfigurationGateway gateway;

    /** Creates one that works through this gateway. */
    public ChangeApplier(ConfigurationGateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Returns what accepting this configuration would change.
     *
     * @param canonical the configuration's canonical text
     * @param catalog what it defines
     * @throws StepException if the accepted configuration cannot be had
     */
    public PlannedChange plan(byte[] canonical, ServiceCatalog catalog) throws StepException {
        ConfigurationView accepted = gateway.newest();
        CatalogDifference difference = CatalogDifference.between(catalogOf(accepted), catalog);
        return new PlannedChange(accepted.version(), difference, canonical);
    }

    /**
     * Has a planned change accepted.
     *
     * @param summary what the audit trail says of it; cut where it is too long
     * @return the new version
     * @throws ChangeConflictException if another change was accepted since it was planned
     * @throws ChangeOutcomeUnknownException if it cannot be said whether it was accepted
     * @throws StepException if it certainly was not accepted
     */
    public ConfigurationVersion apply(PlannedChange planned, String summary) throws StepException {
        ChangeId mark = new ChangeId(UUID.randomUUID().toString());
        String cut = Ascii.truncate(summary, MAX_SUMMARY, "...");
        return gateway.accept(new ChangeRequest(planned.from(), mark, cut, planned.canonical()));
    }

    private static Optional<ServiceCatalog> catalogOf(ConfigurationView view) throws SettingsException {
        return view.version().equals(ConfigurationVersion.NONE)
                ? Optional.empty()
                : Optional.of(CatalogReader.read(view.version(), view.canonical()));
    }
}
