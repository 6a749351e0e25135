package org.tarragonarch.core.configuration;

import static java.util.Comparator.naturalOrder;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.NodeId;

/** The peers that have a newer configuration than this node; the most recent version is asked for first. */
final class PeerSources {
    /** More than enough to find one that answers. */
    private static final int MAX_PEERS = 64;

    private final Map<NodeId, Known> known = new LinkedHashMap<>();

    /** Records that a peer has a version newer than the own. */
    void has(NodeId peer, ConfigurationVersion version) {
        Known before = known.get(peer);
        if (before != null) {
            known.put(peer, new Known(before.source(), version));
        } else if (known.size() < MAX_PEERS) {
            known.put(peer, new Known(Source.peer(peer), version));
        }
    }

    void remove(NodeId peer) {
        known.remove(peer);
    }

    void keepNewerThan(ConfigurationVersion version) {
        known.values().removeIf(peer -> !peer.version().isNewerThan(version));
    }

    /** Returns the most recent version that a peer has. */
    ConfigurationVersion highest() {
        return known.values().stream().map(Known::version).max(naturalOrder()).orElse(ConfigurationVersion.NONE);
    }

    /** Returns the peer to ask now, if there is one. */
    Optional<Known> best(long nowNanos) {
        Optional<Known> best = Optional.empty();
        for (Known peer : known.values()) {
            boolean better =
                    best.isEmpty() || peer.version().isNewerThan(best.get().version());
            if (better && peer.source().usable(nowNanos)) {
                best = Optional.of(peer);
            }
        }
        return best;
    }

    /** Returns when a peer may next be asked. */
    long usableFromNanos() {
        return known.values().stream()
                .mapToLong(peer -> peer.source().usableFromNanos())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** A peer with the version it has. */
    record Known(Source source, ConfigurationVersion version) {}
}
