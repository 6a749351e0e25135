package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.adapter.OperatorKeys;
import org.tarragonarch.adapter.UnreadableBodyException;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/**
 * Applies the rows that operators write to the store: the configuration and the drained failure domains.
 *
 * <p>The drained domains of a page are applied before its configuration, so that a node that has just started places no
 * tasks in a drained domain.
 */
final class OperatorRows extends LoggedTable {
    private final ConfigurationInForce configuration;
    private final Runnable newVersion;
    private final Consumer<DrainedDomains> drainedDomains;
    private final DecisionLog log;
    private final Set<FailureDomain> drained = new HashSet<>();

    /**
     * Creates a listener to the operators' table.
     *
     * @param newVersion runs after a newer configuration is put in force
     * @param drainedDomains receives all drained failure domains after each page
     */
    OperatorRows(
            ConfigurationInForce configuration,
            Runnable newVersion,
            Consumer<DrainedDomains> drainedDomains,
            Timers timers,
            DecisionLog log,
            NodeMeters meters) {
        super(StoreTable.OPERATOR, timers, log, meters);
        this.configuration = configuration;
        this.newVersion = newVersion;
        this.drainedDomains = drainedDomains;
        this.log = log;
    }

    @Override
    public void tableReplaced(RowPage page) {
        drained.clear();
        rowsChanged(page);
    }

    @Override
    public void rowsChanged(RowPage page) {
        page.rows().forEach(this::applyDrain);
        drainedDomains.accept(new DrainedDomains(page.version(), ImmutableSet.copyOf(drained)));
        applyConfiguration(page.rows());
    }

    private void applyDrain(StoreRow row) {
        Optional<FailureDomain> domain = readDrain(row);
        if (domain.isPresent() && row.deleted()) {
            drained.remove(domain.get());
        } else {
            domain.ifPresent(drained::add);
        }
    }

    private Optional<FailureDomain> readDrain(StoreRow row) {
        try {
            return OperatorKeys.drainedDomain(row.key());
        } catch (UnreadableBodyException e) {
            log.write(NodeEvent.DRAIN_ROW_UNREADABLE, "key", row.key(), "reason", e.getMessage());
            return Optional.empty();
        }
    }

    private void applyConfiguration(ImmutableList<StoreRow> rows) {
        for (StoreRow row : rows) {
            boolean holdsConfiguration = OperatorKeys.isConfiguration(row.key()) && !row.deleted();
            if (holdsConfiguration && configuration.updateIfNewer(row.value(), ConfigurationInForce.STORE)) {
                newVersion.run();
            }
        }
    }

    @Override
    public void currentAsOf(long asOfMillis) {
        super.currentAsOf(asOfMillis);
        configuration.confirm(asOfMillis);
    }
}
