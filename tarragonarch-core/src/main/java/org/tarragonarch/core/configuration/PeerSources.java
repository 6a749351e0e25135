package org.tarragonarch.core.configuration;

import static java.util.Comparator.naturalOrder;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.NodeId;

/** The peers that have a newer configuration than this node; those with the highest version are asked first. */
final class PeerSources {
    /** The maximum number of peers to track, which is ample to find one that responds. */
    private static final int MAX_PEERS = 64;

    private final Map<NodeId, VersionedSource> known = new LinkedHashMap<>();

    /** Records that a peer has a version newer than the one in force at this node. */
    void update(NodeId peer, ConfigurationVersion version) {
        VersionedSource before = known.get(peer);
        if (before != null) {
            known.put(peer, new VersionedSource(before.source(), version));
        } else if (known.size() < MAX_PEERS) {
            known.put(peer, new VersionedSource(Source.peer(peer), version));
        }
    }

    void remove(NodeId peer) {
        known.remove(peer);
    }

    void retainNewerThan(ConfigurationVersion version) {
        known.values().removeIf(peer -> !peer.version().isNewerThan(version));
    }

    /** Returns the highest version of all peers; {@link ConfigurationVersion#NONE} if there is no peer. */
    ConfigurationVersion highestVersion() {
        return known.values().stream()
                .map(VersionedSource::version)
                .max(naturalOrder())
                .orElse(ConfigurationVersion.NONE);
    }

    /** Returns the usable peer with the highest version, if there is one. */
    Optional<VersionedSource> bestUsable(long nowNanos) {
        Optional<VersionedSource> best = Optional.empty();
        for (VersionedSource peer : known.values()) {
            boolean better =
                    best.isEmpty() || peer.version().isNewerThan(best.get().version());
            if (better && peer.source().isUsable(nowNanos)) {
                best = Optional.of(peer);
            }
        }
        return best;
    }

    /** Returns when a peer may next be asked; {@code Long.MAX_VALUE} if there is no peer. */
    long nextUsableNanos() {
        return known.values().stream()
                .mapToLong(peer -> peer.source().usableFromNanos())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** A peer and its version. */
    record VersionedSource(Source source, ConfigurationVersion version) {}
}
