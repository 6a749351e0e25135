package org.tarragonarch.wire;

import io.netty.channel.ChannelFuture;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.NodeId;

/**
 * The outgoing connection to one peer: opened when there is a frame to send, and again after a growing wait when it
 * cannot be had. Used by the network's thread alone.
 *
 * <p>When an attempt fails, what waited is given back rather than kept: the peer may be gone for good, and whoever
 * asked it something does better to learn that at once.
 */
final class PeerLink implements ConnectionOwner {
    private final NodeId peer;
    private final Address address;
    private final PeerNetwork network;
    private final PeerNetworkSettings settings;
    private final FrameQueue waiting;
    private Optional<PeerConnection> connection = Optional.empty();
    private boolean attempting;
    private boolean waitingToRetry;
    private boolean retired;
    private Duration backoff;
    private long lastUseNanos;

    PeerLink(NodeId peer, Address address, PeerNetwork network, PeerNetworkSettings settings) {
        this.peer = peer;
        this.address = address;
        this.network = network;
        this.settings = settings;
        this.waiting = network.newQueue();
        this.backoff = settings.firstBackoff();
    }

    NodeId peer() {
        return peer;
    }

    Address address() {
        return address;
    }

    void send(EncodedFrame frame) {
        lastUseNanos = System.nanoTime();
        if (connection.isPresent() && connection.get().isOpen()) {
            connection.get().send(frame);
            return;
        }
        waiting.offer(frame).forEach(this::returnUndelivered);
        connectIfNeeded();
    }

    /** Gives back what waits for a connection. */
    void returnQueued() {
        waiting.drain().forEach(this::returnUndelivered);
    }

    /** Closes the connection and never opens another. */
    void retire(String reason) {
        retired = true;
        returnQueued();
        connection.ifPresent(open -> open.close(reason));
    }

    /** Returns whether nothing was sent for so long that the link is not worth keeping. */
    boolean isUnused(long nowNanos) {
        return nowNanos - lastUseNanos > settings.unusedTimeout().toNanos();
    }

    @Override
    public void opened(PeerConnection opened) {
        attempting = false;
        backoff = settings.firstBackoff();
        connection = Optional.of(opened);
        if (retired) {
            opened.close("the link is no longer wanted");
            return;
        }
        network.firstFrame(peer).ifPresent(opened::send);
        waiting.drain().forEach(opened::send);
    }

    @Override
    public void closed(PeerConnection closed) {
        if (attempting) {
            attemptFailed();
        } else if (connection.filter(open -> open == closed).isPresent()) {
            connection = Optional.empty();
            retryLater();
        }
    }

    private void connectIfNeeded() {
        if (connection.isPresent() || attempting || waitingToRetry || retired || waiting.isEmpty()) {
            return;
        }
        attempting = true;
        ChannelFuture attempt = network.connect(peer, address, this);
        attempt.addListener(done -> {
            if (!done.isSuccess() && attempting) {
                attemptFailed();
            }
        });
    }

    private void attemptFailed() {
        attempting = false;
        returnQueued();
        retryLater();
    }

    private void retryLater() {
        waitingToRetry = true;
        network.schedule(backoff, () -> {
            waitingToRetry = false;
            connectIfNeeded();
        });
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(settings.maxBackoff()) < 0 ? doubled : settings.maxBackoff();
    }

    private void returnUndelivered(EncodedFrame frame) {
        network.returnUndelivered(peer, frame);
    }
}
