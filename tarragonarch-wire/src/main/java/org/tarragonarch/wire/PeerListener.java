package org.tarragonarch.wire;

import java.util.Optional;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** Takes what comes from peers; called on the network's one thread, so it must not block. */
public interface PeerListener {
    /**
     * Takes a frame other than a {@link Hello}.
     *
     * @param peer the node that sent it, as its hello says
     * @param run the run of that node; what answers the frame goes to this run alone
     * @param frame the frame
     */
    void received(NodeId peer, Incarnation run, Frame frame);

    /**
     * Takes back a frame that certainly did not leave: the peer could not be reached, its queue was full, or the frame
     * was too long. Reports are dropped without a word. A frame that left on a connection which then broke is neither
     * given back nor known to have arrived; the sender needs a time-out for it.
     */
    default void undelivered(NodeId peer, Frame frame) {}

    /**
     * Returns the frame that goes before all others on a connection which this node has opened to the peer.
     *
     * <p>Called once for each connection, when the peer has said hello.
     */
    default Optional<Frame> firstFrame(NodeId peer) {
        return Optional.empty();
    }

    /** Notes that the last connection with a run of the peer has closed. */
    default void disconnected(NodeId peer, Incarnation run) {}
}
