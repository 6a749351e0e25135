package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** Receives the frames and connection events of peers; called on the network's only thread, so it must not block. */
public interface PeerListener {
    /**
     * Handles a frame other than a {@link Hello}.
     *
     * @param peer the sender, as named in its hello
     * @param run the incarnation of the sender; a response must go to this incarnation only
     * @param frame the frame
     */
    void received(NodeId peer, Incarnation run, Frame frame);

    /**
     * Handles a frame that was certainly not sent: the peer could not be reached, its queue was full, or the frame was
     * too long.
     *
     * <p>Not called for reports and statuses, which are dropped silently, nor for a frame that was written to a
     * connection which then broke: that frame may or may not have arrived, so its sender needs a timeout.
     */
    default void undelivered(NodeId peer, Frame frame) {}

    /**
     * Returns the frames to send before all others on a connection that this node has opened to the peer.
     *
     * <p>Called once for each connection, after the peer's hello has been checked, and again for one that stays open
     * when another connection with the peer has closed and {@link #interrupted} has returned true.
     */
    default ImmutableList<Frame> firstFrames(NodeId peer, Incarnation run) {
        return ImmutableList.of();
    }

    /**
     * Called when a connection with the peer has closed, after its unsent frames were returned. Frames that either end
     * has written to it may be lost.
     *
     * @return whether the other connections with the peer must be replaced too, because they may have become silent
     */
    default boolean interrupted(NodeId peer, Incarnation run) {
        return false;
    }

    /**
     * Called when the last connection to an incarnation of the peer has closed and this node could not open a new one.
     */
    default void disconnected(NodeId peer, Incarnation run) {}
}
