package org.tarragonarch.ctl.change;

import com.google.common.collect.ImmutableList;
import java.time.Clock;
import java.util.Optional;
import org.tarragonarch.ctl.admin.ChangeRequest;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.ConfigurationConflictException;
import org.tarragonarch.platform.ConfigurationStore;
import org.tarragonarch.platform.PlatformException;

/** Accesses the accepted configurations directly at the platform, for the first one or when no node answers. */
public final class StoreGateway implements ConfigurationGateway {
    private static final int MAX_SEARCHED_RECORDS = 10_000;

    private final ConfigurationStore store;
    private final OperatorName operator;
    private final Clock clock;

    /**
     * Creates a gateway.
     *
     * @param store the configuration store of the platform
     * @param operator the operator recorded in the audit trail
     * @param clock the source of the times in the audit trail
     */
    public StoreGateway(ConfigurationStore store, OperatorName operator, Clock clock) {
        this.store = store;
        this.operator = operator;
        this.clock = clock;
    }

    @Override
    public ConfigurationView newest() throws PlatformException {
        Optional<ConfigurationRow> row = store.readRow();
        return row.isEmpty()
                ? ConfigurationView.NONE
                : new ConfigurationView(
                        row.get().version(), store.load(row.get().digest()));
    }

    @Override
    public ConfigurationView load(ConfigurationVersion version) throws PlatformException {
        for (AuditRecord record : store.history(MAX_SEARCHED_RECORDS)) {
            if (record.version().equals(version)) {
                return new ConfigurationView(version, store.load(record.digest()));
            }
        }
        throw new PlatformException("table service", "version " + version + " was never accepted", false, null);
    }

    @Override
    public ConfigurationVersion accept(ChangeRequest change) throws StepException {
        AuditRecord record = new AuditRecord(
                change.from().next(),
                change.from(),
                ContentDigest.of(change.canonical()),
                change.changeId(),
                operator,
                clock.instant(),
                change.summary());
        try {
            return store.accept(record, change.canonical()).version();
        } catch (ConfigurationConflictException e) {
            throw new ChangeConflictException(e.peer(), e.getMessage());
        } catch (PlatformException e) {
            throw e.mayHaveApplied() ? new ChangeOutcomeUnknownException(change.changeId(), e) : e;
        }
    }

    @Override
    public ImmutableList<AuditRecord> audit(int limit) throws PlatformException {
        return store.history(limit);
    }
}
