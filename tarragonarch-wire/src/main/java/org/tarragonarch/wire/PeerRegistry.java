package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.Optional;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * Which connections are open to which run of which node; used by the network's thread alone.
 *
 * <p>Guards against a node that was restarted on its old address, or whose name moved to another VM while the first
 * process still runs: a connection with an earlier run is refused or closed at both ends, so no frame meant for one run
 * reaches another.
 */
final class PeerRegistry {
    private final Hello own;
    private final PeerRuns runs = new PeerRuns();
    private final SetMultimap<NodeId, PeerConnection> open = LinkedHashMultimap.create();

    PeerRegistry(Hello own) {
        this.own = own;
    }

    /** Records the first hello of a connection; returns why the connection is refused, if it is. */
    Optional<String> admit(PeerConnection connection, Hello hello) {
        if (hello.node().equals(own.node())) {
            return Optional.of("speaks in the name of this node");
        }
        if (connection.expectedPeer().filter(name -> !name.equals(hello.node())).isPresent()) {
            return Optional.of(
                    "is " + hello.node() + " where " + connection.expectedPeer().get() + " was expected");
        }
        if (!runs.recordRun(hello.node(), hello.incarnation())) {
            return Optional.of("is run " + hello.incarnation() + " where run "
                    + runs.latest(hello.node()).orElseThrow() + " was met");
        }
        for (PeerConnection earlier : connectionsWith(hello.node())) {
            if (!earlier.belongsTo(hello.incarnation())) {
                earlier.close("a later run was met");
            }
        }
        open.put(hello.node(), connection);
        return Optional.empty();
    }

    /**
     * Closes the connections that the other end had opened before it began to send on this one.
     *
     * <p>Guards against frames out of order: a node sends on one connection at a time, so what is unread on an earlier
     * one was sent before anything on this one, and may have been taken back since.
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

    /** Returns an open connection with exactly this run, if there is one. */
    Optional<PeerConnection> find(NodeId peer, Incarnation run) {
        return open.get(peer).stream()
                .filter(connection -> connection.belongsTo(run))
                .findFirst();
    }

    /** Returns every open connection with the peer. */
    ImmutableList<PeerConnection> connectionsWith(NodeId peer) {
        return ImmutableList.copyOf(open.get(peer));
    }

    /** Takes a connection out; returns whether it was the last one with its run of the peer. */
    boolean remove(PeerConnection connection) {
        Optional<Hello> hello = connection.peerHello();
        return hello.isPresent()
                && open.remove(hello.get().node(), connection)
                && find(hello.get().node(), hello.get().incarnation()).isEmpty();
    }
}
