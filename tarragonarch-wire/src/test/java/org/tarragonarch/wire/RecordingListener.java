package org.tarragonarch.wire;

import static org.testng.Assert.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** Keeps what came from peers and what was given back. */
final class RecordingListener implements PeerListener {
    private static final int BOUND_SECONDS = 10;

    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> undelivered = new LinkedBlockingQueue<>();

    /** One frame with its sender. */
    record Received(NodeId peer, Incarnation run, Frame frame) {}

    @Override
    public void received(NodeId peer, Incarnation run, Frame frame) {
        received.add(new Received(peer, run, frame));
    }

    @Override
    public void undelivered(NodeId peer, Frame frame) {
        undelivered.add(frame);
    }

    Received awaitReceived() throws InterruptedException {
        Received next = received.poll(BOUND_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "nothing received");
        return next;
    }

    Frame awaitUndelivered() throws InterruptedException {
        Frame next = undelivered.poll(BOUND_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "nothing given back");
        return next;
    }

    boolean receivedNothing() {
        return received.isEmpty();
    }
}
