package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.adapter.PlatformNames;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/** Takes the operators' rows of the store: the configuration is one of them. */
final class ConfigurationRows extends LoggedTable {
    private final ConfigurationInForce configuration;
    private final Runnable newVersion;

    ConfigurationRows(
            ConfigurationInForce configuration,
            Runnable newVersion,
            Timers timers,
            DecisionLog log,
            NodeMeters meters) {
        super(StoreTable.OPERATOR, timers, log, meters);
        this.configuration = configuration;
        this.newVersion = newVersion;
    }

    @Override
    public void replaced(ImmutableList<StoreRow> rows) {
        changed(rows);
    }

    @Override
    public void changed(ImmutableList<StoreRow> rows) {
        for (StoreRow row : rows) {
            boolean holdsConfiguration = row.key().equals(PlatformNames.CONFIGURATION_ROW) && !row.deleted();
            if (holdsConfiguration && configuration.offered(row.value(), ConfigurationInForce.STORE)) {
                newVersion.run();
            }
        }
    }

    @Override
    public void current(long asOfMillis) {
        super.current(asOfMillis);
        configuration.confirmed(asOfMillis);
    }
}
