package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.Optional;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The open connections by node and incarnation; used by the network's thread alone.
 *
 * <p>Guards against a node that was restarted at its old address, or whose name moved to another VM while the first
 * process still runs: a connection to an earlier incarnation is refused or closed at both ends, so that no frame meant
 * for one incarnation reaches another.
 */
final class PeerRegistry {
    private final Hello own;
    private final PeerRuns runs = new PeerRuns();
    private final SetMultimap<NodeId, PeerConnection> open = LinkedHashMultimap.create();

    PeerRegistry(Hello own) {
        this.own = own;
    }

    /** Registers a connection by its first hello; returns the reason if the connection is refused. */
    Optional<String> admit(PeerConnection connection, Hello hello) {
        if (hello.node().equals(own.node())) {
            return Optional.of("uses the name of this node");
        }
        if (connection.expectedPeer().filter(name -> !name.equals(hello.node())).isPresent()) {
            return Optional.of(
                    "is " + hello.node() + " where " + connection.expectedPeer().get() + " was expected");
        }
        if (!runs.recordRun(hello.node(), hello.incarnation())) {
            return Optional.of("is incarnation " + hello.incarnation() + " where incarnation "
                    + runs.latest(hello.node()).orElseThrow() + " is known");
        }
        for (PeerConnection earlier : connectionsWith(hello.node())) {
            if (!earlier.belongsTo(hello.incarnation())) {
                earlier.close("a later incarnation connected");
            }
        }
        open.put(hello.node(), connection);
        return Optional.empty();
    }

    /**
     * Closes the connections that the other end opened before it began to send on this one.
     *
     * <p>Guards against frames out of order: a node sends on one connection at a time, so unread frames on an earlier
     * connection were sent before those on this one, and may have been withdrawn since.
     */
    void closeEarlierIncoming(PeerConnection connection) {
        for (PeerConnection other :
                connectionsWith(connection.peerHello().orElseThrow().node())) {
            if (other == connection) {
                return;
            }
            if (other.isIncoming()) {
                other.close("the other end sends on a later connection");
            }
        }
    }

    /** Returns an open connection to exactly this incarnation of the peer, if there is one. */
    Optional<PeerConnection> find(NodeId peer, Incarnation run) {
        return open.get(peer).stream()
                .filter(connection -> connection.belongsTo(run))
                .findFirst();
    }

    /** Returns the connection that this node has opened to exactly this incarnation, if it is open. */
    Optional<PeerConnection> findOutgoing(NodeId peer, Incarnation run) {
        return open.get(peer).stream()
                .filter(connection -> connection.belongsTo(run))
                .filter(connection -> !connection.isIncoming() && connection.isOpen())
                .findFirst();
    }

    /** Returns the open connections to the peer, oldest first. */
    ImmutableList<PeerConnection> connectionsWith(NodeId peer) {
        return ImmutableList.copyOf(open.get(peer));
    }

    /** Removes a connection; returns whether it was registered. */
    boolean remove(PeerConnection connection) {
        Optional<Hello> hello = connection.peerHello();
        return hello.isPresent() && open.remove(hello.get().node(), connection);
    }

    /**
     * Returns the other connections with the same incarnation that were open before the given one was replaced.
     *
     * <p>The end that opened a connection replaces it by a later one, and both ends close what was open before that.
     */
    ImmutableList<PeerConnection> openedBeforeReplacementOf(PeerConnection connection) {
        Optional<Hello> hello = connection.peerHello();
        if (hello.isEmpty()) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<PeerConnection> others = ImmutableList.builder();
        boolean isLater = false;
        for (PeerConnection other : connectionsWith(hello.get().node())) {
            boolean isReplacement = isLater && other.isIncoming() == connection.isIncoming();
            if (isReplacement) {
                break;
            }
            if (other == connection) {
                isLater = true;
            } else if (other.belongsTo(hello.get().incarnation())) {
                others.add(other);
            }
        }
        return others.build();
    }
}
