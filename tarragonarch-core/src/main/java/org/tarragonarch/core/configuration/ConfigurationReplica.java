package org.tarragonarch.core.configuration;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.ConfigurationInForce;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ReadConfigurationRow;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * Holds the configuration in force and replaces it only by newer ones.
 *
 * <p>The configuration row of the table service is read at a fixed interval, and at once when a peer reports a newer
 * version. The configuration itself is loaded from the object store while that responds, since it can be checked
 * against the digest in the row, and from peers otherwise. Only one load is in progress at a time. After a failure the
 * next source is tried at once, and the failed one is retried with exponential backoff.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationReplica {
    private static final long LOAD_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

    private final RowTracker row;
    private final Source store = Source.store();
    private final PeerSources peers = new PeerSources();
    private Optional<ServiceCatalog> inForce = Optional.empty();
    private Optional<LoadAttempt> attempt = Optional.empty();
    private long newVersionNanos = Long.MIN_VALUE;
    private long retryNanos = Long.MAX_VALUE;

    private ConfigurationReplica(NodePolicy policy) {
        this.row = new RowTracker(policy.configurationInterval());
    }

    /** Returns a replica without a configuration. */
    public static ConfigurationReplica create(NodePolicy policy) {
        return new ConfigurationReplica(policy);
    }

    /** Processes a row that was read, which may be stale. */
    public void rowRead(Optional<ConfigurationRow> read, long nowNanos, ActionSink sink) {
        row.readSucceeded(read);
        ConfigurationVersion version = read.map(ConfigurationRow::version).orElse(ConfigurationVersion.NONE);
        if (version().isNewerThan(version)) {
            refuse(version, "store", sink);
        }
        advance(nowNanos, sink);
    }

    /** Records that a read of the row failed. */
    public void rowFailed(long nowNanos, ActionSink sink) {
        row.readFailed();
        advance(nowNanos, sink);
    }

    /** Processes the version that a peer has in force. */
    public void peerVersionReported(NodeId peer, ConfigurationVersion version, long nowNanos, ActionSink sink) {
        if (!version.isNewerThan(version())) {
            peers.remove(peer);
            return;
        }
        if (version.isNewerThan(peers.highestVersion()) && version.isNewerThan(row.highestVersion())) {
            newVersionNanos = nowNanos;
        }
        peers.update(peer, version);
        advance(nowNanos, sink);
    }

    /** Processes a loaded configuration; returns whether it is now in force. */
    public boolean loaded(ConfigurationLoaded event, long nowNanos, ActionSink sink) {
        ServiceCatalog catalog = event.catalog();
        Optional<LoadAttempt> completed =
                attempt.filter(current -> !current.version().isNewerThan(catalog.version()));
        if (completed.isPresent()) {
            attempt = Optional.empty();
        }
        boolean adopted = catalog.version().isNewerThan(version()) && !contradictsRow(catalog);
        if (adopted) {
            adopt(event, completed, sink);
        } else if (!isSameAsInForce(catalog)) {
            refuse(catalog.version(), event.source(), sink);
            completed.ifPresent(current -> current.source().recordFailure(nowNanos));
        }
        advance(nowNanos, sink);
        return adopted;
    }

    /** Processes a failed load of a configuration. */
    public void loadFailed(ConfigurationLoadFailed event, long nowNanos, ActionSink sink) {
        Optional<LoadAttempt> failed =
                attempt.filter(current -> current.version().equals(event.version()));
        if (failed.isPresent()) {
            failed.get().source().recordFailure(nowNanos);
            attempt = Optional.empty();
        }
        advance(nowNanos, sink);
    }

    /** Reads the row and tries the next source when either is due. */
    public void timePassed(long nowNanos, ActionSink sink) {
        if (nowNanos >= row.nextReadNanos()) {
            readRow(nowNanos, sink);
        }
        if (nowNanos >= retryNanos) {
            advance(nowNanos, sink);
        }
    }

    /** Returns when {@link #timePassed} must next be called. */
    public long nextWakeNanos() {
        return Math.min(row.nextReadNanos(), retryNanos);
    }

    /** Returns the configuration in force, if there is one. */
    public Optional<ServiceCatalog> inForce() {
        return inForce;
    }

    /** Returns the version in force; {@link ConfigurationVersion#NONE} if there is none. */
    public ConfigurationVersion version() {
        return inForce.map(ServiceCatalog::version).orElse(ConfigurationVersion.NONE);
    }

    private void adopt(ConfigurationLoaded event, Optional<LoadAttempt> completed, ActionSink sink) {
        inForce = Optional.of(event.catalog());
        completed.ifPresent(current -> current.source().recordSuccess());
        peers.retainNewerThan(event.catalog().version());
        sink.emit(new ConfigurationInForce(event.catalog(), event.source()));
    }

    /** Starts the next read or load for a newer version, if one is known and no load is in progress. */
    private void advance(long nowNanos, ActionSink sink) {
        retryNanos = Long.MAX_VALUE;
        if (attempt.isPresent() && nowNanos >= attempt.get().timeoutNanos()) {
            attempt.get().source().recordFailure(nowNanos);
            attempt = Optional.empty();
        }
        if (attempt.isPresent()) {
            retryNanos = attempt.get().timeoutNanos();
        } else if (peers.highestVersion().isNewerThan(row.highestVersion())) {
            advanceToPeerVersion(nowNanos, sink);
        } else if (row.highestVersion().isNewerThan(version()) && !loadFromStore(nowNanos, sink)) {
            loadFromPeer(nowNanos, sink);
        }
    }

    /**
     * Starts the next read or load for a version that a peer reported and the row did not show.
     *
     * <p>Reads the row first, so that the digest is known and the store can be used. Asks the peer if the table service
     * fails or is slow, or if the row is stale.
     */
    private void advanceToPeerVersion(long nowNanos, ActionSink sink) {
        if (row.isStoreResponding() && !row.readStartedSince(newVersionNanos)) {
            readRow(nowNanos, sink);
        }
        if (row.shouldAwaitRead(nowNanos)) {
            retryNanos = row.readTimeoutNanos();
        } else if (!loadFromPeer(nowNanos, sink) && row.highestVersion().isNewerThan(version())) {
            loadFromStore(nowNanos, sink);
        }
    }

    private boolean loadFromStore(long nowNanos, ActionSink sink) {
        if (!store.isUsable(nowNanos)) {
            retryNanos = Math.min(retryNanos, store.usableFromNanos());
            return false;
        }
        ConfigurationRow known = row.highest().orElseThrow();
        load(store, known.version(), Optional.of(known.digest()), nowNanos, sink);
        return true;
    }

    private boolean loadFromPeer(long nowNanos, ActionSink sink) {
        Optional<PeerSources.VersionedSource> best = peers.bestUsable(nowNanos);
        if (best.isEmpty()) {
            retryNanos = Math.min(retryNanos, peers.nextUsableNanos());
            return false;
        }
        ConfigurationVersion version = best.get().version();
        load(best.get().source(), version, digestOf(version), nowNanos, sink);
        return true;
    }

    private void load(
            Source source,
            ConfigurationVersion version,
            Optional<ContentDigest> digest,
            long nowNanos,
            ActionSink sink) {
        attempt = Optional.of(new LoadAttempt(source, version, nowNanos + LOAD_TIMEOUT_NANOS));
        retryNanos = nowNanos + LOAD_TIMEOUT_NANOS;
        sink.emit(new LoadConfiguration(version, digest, source.peer()));
    }

    private void readRow(long nowNanos, ActionSink sink) {
        row.readStarted(nowNanos);
        sink.emit(new ReadConfigurationRow());
    }

    private Optional<ContentDigest> digestOf(ConfigurationVersion version) {
        return row.highest().filter(known -> known.version().equals(version)).map(ConfigurationRow::digest);
    }

    private boolean contradictsRow(ServiceCatalog catalog) {
        return digestOf(catalog.version())
                .filter(digest -> !digest.equals(catalog.digest()))
                .isPresent();
    }

    private boolean isSameAsInForce(ServiceCatalog catalog) {
        return catalog.version().equals(version())
                && inForce.filter(known -> known.digest().equals(catalog.digest()))
                        .isPresent();
    }

    private void refuse(ConfigurationVersion offered, String source, ActionSink sink) {
        sink.emit(new Note(
                NoteEvent.OLD_CONFIGURATION_REFUSED,
                Step.CONFIGURE,
                source,
                ImmutableMap.of(
                        "offered", offered.toString(), "in-force", version().toString())));
    }
}
