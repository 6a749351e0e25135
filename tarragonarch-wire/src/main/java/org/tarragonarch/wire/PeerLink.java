package org.tarragonarch.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The outgoing connection to one peer: opened when there is a frame to send, and reopened with exponential backoff.
 * Used by the network's thread alone.
 *
 * <p>When an attempt fails, the queued frames are returned as undelivered rather than kept: the peer may be gone for
 * good, and the senders should learn that at once.
 */
final class PeerLink implements ConnectionOwner {
    private final NodeId peer;
    private final Address address;
    private final PeerNetwork network;
    private final PeerNetworkSettings settings;
    private final FrameQueue waiting;
    private Optional<PeerConnection> connection = Optional.empty();
    private Optional<Incarnation> lastRun = Optional.empty();
    private Channel attemptedChannel;
    private boolean attempting;
    private boolean inBackoff;
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

    /** Returns the frames that wait for a connection to the listener as undelivered. */
    void returnQueued() {
        waiting.drain().forEach(this::returnUndelivered);
    }

    /**
     * Opens a connection even if there is nothing to send, because the last one with this incarnation has closed. If
     * that fails, or another incarnation responds, the loss is reported.
     *
     * @return whether a connection will be attempted
     */
    boolean reconnect(Incarnation run) {
        if (retired) {
            return false;
        }
        lastRun = Optional.of(run);
        connectIfNeeded();
        return true;
    }

    /** Closes the connection for good. */
    void retire(String reason) {
        retired = true;
        returnQueued();
        connection.ifPresent(open -> open.close(reason));
    }

    /** Returns whether nothing was sent for longer than the unused timeout. */
    boolean isUnused(long nowNanos) {
        return nowNanos - lastUseNanos > settings.unusedTimeout().toNanos();
    }

    @Override
    public void opened(PeerConnection opened) {
        attempting = false;
        backoff = settings.firstBackoff();
        connection = Optional.of(opened);
        if (retired) {
            opened.close("the link is retired");
            return;
        }
        Incarnation run = opened.peerHello().orElseThrow().incarnation();
        lastRun.filter(last -> !last.equals(run)).ifPresent(last -> network.reportDisconnected(peer, last));
        lastRun = Optional.empty();
        opened.sendFirstFrames();
        waiting.drain().forEach(opened::send);
    }

    @Override
    public void closed(PeerConnection closed) {
        if (attempting) {
            attemptFailed();
        } else if (connection.filter(current -> current == closed).isPresent()) {
            connection = Optional.empty();
            if (closed.isStable()) {
                connectIfNeeded();
            } else {
                retryLater();
            }
        }
    }

    private void connectIfNeeded() {
        if (connection.isPresent() || attempting || inBackoff || retired) {
            return;
        }
        if (waiting.isEmpty() && lastRun.isEmpty()) {
            return;
        }
        attempting = true;
        ChannelFuture attempt = network.connect(peer, address, this);
        attemptedChannel = attempt.channel();
        attempt.addListener(done -> {
            if (!done.isSuccess() && attempting) {
                attemptFailed();
            }
        });
        network.schedule(settings.helloTimeout(), () -> closeUnlessOpened(attempt.channel()));
    }

    /** Closes a connection on which the peer has not responded, since it may have become silent during the attempt. */
    private void closeUnlessOpened(Channel channel) {
        if (attempting && channel == attemptedChannel) {
            channel.close();
        }
    }

    private void attemptFailed() {
        attempting = false;
        Optional<Incarnation> lost = lastRun;
        lastRun = Optional.empty();
        returnQueued();
        retryLater();
        lost.ifPresent(run -> network.reportDisconnected(peer, run));
    }

    private void retryLater() {
        inBackoff = true;
        network.schedule(backoff, () -> {
            inBackoff = false;
            connectIfNeeded();
        });
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(settings.maxBackoff()) < 0 ? doubled : settings.maxBackoff();
    }

    private void returnUndelivered(EncodedFrame frame) {
        network.returnUndelivered(peer, frame);
    }
}
