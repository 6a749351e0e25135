package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import java.util.function.BiPredicate;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * Forwards the events of connections to another listener, but reconnects to a peer before it reports its loss.
 *
 * <p>Guards against a live peer that counts as lost because every connection with it was reset.
 */
final class ReconnectingListener implements PeerListener {
    private final PeerListener listener;
    private final BiPredicate<NodeId, Incarnation> reconnect;

    /**
     * Creates a forwarding listener.
     *
     * @param reconnect starts to open a connection to a peer, and reports a loss if that fails; returns false if this
     *     node has nothing to send to the peer
     */
    ReconnectingListener(PeerListener listener, BiPredicate<NodeId, Incarnation> reconnect) {
        this.listener = listener;
        this.reconnect = reconnect;
    }

    @Override
    public void received(NodeId peer, Incarnation run, Frame frame) {
        listener.received(peer, run, frame);
    }

    @Override
    public void undelivered(NodeId peer, Frame frame) {
        listener.undelivered(peer, frame);
    }

    @Override
    public ImmutableList<Frame> firstFrames(NodeId peer, Incarnation run) {
        return listener.firstFrames(peer, run);
    }

    @Override
    public boolean interrupted(NodeId peer, Incarnation run) {
        return listener.interrupted(peer, run);
    }

    @Override
    public void disconnected(NodeId peer, Incarnation run) {
        if (!reconnect.test(peer, run)) {
            listener.disconnected(peer, run);
        }
    }
}
