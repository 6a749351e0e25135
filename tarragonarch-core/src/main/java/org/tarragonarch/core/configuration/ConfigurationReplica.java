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
 * Keeps the configuration in force and adopts only newer ones.
 *
 * <p>The row of the table service is read at a fixed interval, and at once when a peer says that it has a newer one.
 * The text comes from the object store while the store answers, since the row's digest vouches for it, and from peers
 * otherwise. One load is under way at a time. A source that fails is left alone for a growing while, and the next one
 * is tried at once.
 *
 * <p>Not safe for use by several threads.
 */
public final class ConfigurationReplica {
    private static final long LOAD_PATIENCE_NANOS = Duration.ofSeconds(2).toNanos();

    private final RowWatch row;
    private final Source store = Source.store();
    private final PeerSources peers = new PeerSources();
    private Optional<ServiceCatalog> inForce = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private long newsNanos = Long.MIN_VALUE;
    private long retryNanos = Long.MAX_VALUE;

    private ConfigurationReplica(NodePolicy policy) {
        this.row = new RowWatch(policy.configurationInterval());
    }

    /** Returns a keeper that has no configuration. */
    public static ConfigurationReplica create(NodePolicy policy) {
        return new ConfigurationReplica(policy);
    }

    /** Records a read of the row, which may be stale. */
    public void rowRead(Optional<ConfigurationRow> read, long nowNanos, ActionSink sink) {
        row.read(read);
        ConfigurationVersion version = read.map(ConfigurationRow::version).orElse(ConfigurationVersion.NONE);
        if (version().isNewerThan(version)) {
            refuse(version, "store", sink);
        }
        pursue(nowNanos, sink);
    }

    /** Records that the row could not be read. */
    public void rowFailed(long nowNanos, ActionSink sink) {
        row.failed();
        pursue(nowNanos, sink);
    }

    /** Records that a peer has a version in force. */
    public void peerHas(NodeId peer, ConfigurationVersion version, long nowNanos, ActionSink sink) {
        if (!version.isNewerThan(version())) {
            peers.remove(peer);
            return;
        }
        if (version.isNewerThan(peers.highest()) && version.isNewerThan(row.highestVersion())) {
            newsNanos = nowNanos;
        }
        peers.has(peer, version);
        pursue(nowNanos, sink);
    }

    /** Records a configuration that was loaded; returns whether it is now in force. */
    public boolean loaded(ConfigurationLoaded event, long nowNanos, ActionSink sink) {
        ServiceCatalog catalog = event.catalog();
        Optional<Attempt> answered = attempt.filter(asked -> !asked.version().isNewerThan(catalog.version()));
        if (answered.isPresent()) {
            attempt = Optional.empty();
        }
        boolean adopted = catalog.version().isNewerThan(version()) && !contradictsRow(catalog);
        if (adopted) {
            adopt(event, answered, sink);
        } else if (!sameAsInForce(catalog)) {
            refuse(catalog.version(), event.source(), sink);
            answered.ifPresent(asked -> asked.source().failed(nowNanos));
        }
        pursue(nowNanos, sink);
        return adopted;
    }

    /** Records that a configuration could not be loaded. */
    public void loadFailed(ConfigurationLoadFailed event, long nowNanos, ActionSink sink) {
        Optional<Attempt> failed = attempt.filter(asked -> asked.version().equals(event.version()));
        if (failed.isPresent()) {
            failed.get().source().failed(nowNanos);
            attempt = Optional.empty();
        }
        pursue(nowNanos, sink);
    }

    /** Reads the row when that is due, and tries the next source when one failed. */
    public void timePassed(long nowNanos, ActionSink sink) {
        if (nowNanos >= row.nextReadNanos()) {
            readRow(nowNanos, sink);
        }
        if (nowNanos >= retryNanos) {
            pursue(nowNanos, sink);
        }
    }

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        return Math.min(row.nextReadNanos(), retryNanos);
    }

    /** Returns the configuration in force, if there is one. */
    public Optional<ServiceCatalog> inForce() {
        return inForce;
    }

    /** Returns the version in force. */
    public ConfigurationVersion version() {
        return inForce.map(ServiceCatalog::version).orElse(ConfigurationVersion.NONE);
    }

    private void adopt(ConfigurationLoaded event, Optional<Attempt> answered, ActionSink sink) {
        inForce = Optional.of(event.catalog());
        answered.ifPresent(asked -> asked.source().worked());
        peers.keepNewerThan(event.catalog().version());
        sink.emit(new ConfigurationInForce(event.catalog(), event.source()));
    }

    /** Does the next step towards a newer version, if one is known and no load is under way. */
    private void pursue(long nowNanos, ActionSink sink) {
        retryNanos = Long.MAX_VALUE;
        if (attempt.isPresent() && nowNanos >= attempt.get().patienceEndsNanos()) {
            attempt.get().source().failed(nowNanos);
            attempt = Optional.empty();
        }
        if (attempt.isPresent()) {
            retryNanos = attempt.get().patienceEndsNanos();
        } else if (peers.highest().isNewerThan(row.highestVersion())) {
            pursuePeersVersion(nowNanos, sink);
        } else if (row.highestVersion().isNewerThan(version()) && !loadFromStore(nowNanos, sink)) {
            loadFromPeer(nowNanos, sink);
        }
    }

    /**
     * Reads the row before a peer is asked for a version that the row did not show, so that the digest is known and the
     * text comes from the store; asks the peer if the store fails, is slow, or gives a stale row.
     */
    private void pursuePeersVersion(long nowNanos, ActionSink sink) {
        if (row.answers() && !row.askedSince(newsNanos)) {
            readRow(nowNanos, sink);
        }
        if (row.worthWaiting(nowNanos)) {
            retryNanos = row.patienceEndsNanos();
        } else if (!loadFromPeer(nowNanos, sink) && row.highestVersion().isNewerThan(version())) {
            loadFromStore(nowNanos, sink);
        }
    }

    private boolean loadFromStore(long nowNanos, ActionSink sink) {
        if (!store.usable(nowNanos)) {
            retryNanos = Math.min(retryNanos, store.usableFromNanos());
            return false;
        }
        ConfigurationRow known = row.highest().orElseThrow();
        load(store, known.version(), Optional.of(known.digest()), nowNanos, sink);
        return true;
    }

    private boolean loadFromPeer(long nowNanos, ActionSink sink) {
        Optional<PeerSources.Known> best = peers.best(nowNanos);
        if (best.isEmpty()) {
            retryNanos = Math.min(retryNanos, peers.usableFromNanos());
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
        attempt = Optional.of(new Attempt(source, version, nowNanos + LOAD_PATIENCE_NANOS));
        retryNanos = nowNanos + LOAD_PATIENCE_NANOS;
        sink.emit(new LoadConfiguration(version, digest, source.peer()));
    }

    private void readRow(long nowNanos, ActionSink sink) {
        row.asked(nowNanos);
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

    private boolean sameAsInForce(ServiceCatalog catalog) {
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
