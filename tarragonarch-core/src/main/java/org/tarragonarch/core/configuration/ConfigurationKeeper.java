package org.tarragonarch.core.configuration;

import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.ConfigurationInForce;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.ReadConfigurationRow;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * Keeps the configuration in force and adopts only newer ones.
 *
 * <p>Not safe for use by several threads.
 */
public final class ConfigurationKeeper {
    private final NodePolicy policy;
    private Optional<ServiceCatalog> inForce = Optional.empty();
    private long nextRead;

    private ConfigurationKeeper(NodePolicy policy) {
        this.policy = policy;
    }

    /** Returns a keeper that has no configuration. */
    public static ConfigurationKeeper create(NodePolicy policy) {
        return new ConfigurationKeeper(policy);
    }

    /** Takes in a read of the row, which may be stale. */
    public void rowRead(Optional<ConfigurationRow> row, long nowNanos, ActionSink sink) {
        row.filter(read -> read.version().newerThan(version()))
                .ifPresent(read ->
                        sink.emit(new LoadConfiguration(read.version(), Optional.of(read.digest()), Optional.empty())));
    }

    /** Takes in that the row could not be read. */
    public void rowFailed(long nowNanos, ActionSink sink) {}

    /** Takes in that a peer has a version in force. */
    public void peerHas(NodeId peer, ConfigurationVersion version, long nowNanos, ActionSink sink) {}

    /** Takes in a configuration that was loaded; returns whether it is now in force. */
    public boolean loaded(ConfigurationLoaded event, long nowNanos, ActionSink sink) {
        if (!event.catalog().version().newerThan(version())) {
            return false;
        }
        inForce = Optional.of(event.catalog());
        sink.emit(new ConfigurationInForce(event.catalog(), event.source()));
        return true;
    }

    /** Takes in that a configuration could not be loaded. */
    public void loadFailed(ConfigurationLoadFailed event, long nowNanos, ActionSink sink) {}

    /** Reads the row when that is due. */
    public void timePassed(long nowNanos, ActionSink sink) {
        if (nowNanos >= nextRead) {
            nextRead = nowNanos + policy.configurationInterval().toNanos();
            sink.emit(new ReadConfigurationRow());
        }
    }

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        return nextRead;
    }

    /** Returns the configuration in force, if there is one. */
    public Optional<ServiceCatalog> inForce() {
        return inForce;
    }

    /** Returns the version in force. */
    public ConfigurationVersion version() {
        return inForce.map(ServiceCatalog::version).orElse(ConfigurationVersion.NONE);
    }
}
