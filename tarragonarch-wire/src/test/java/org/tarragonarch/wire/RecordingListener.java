package org.tarragonarch.wire;

import static org.testng.Assert.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** Records received and undelivered frames. */
final class RecordingListener implements PeerListener {
    private static final int TIMEOUT_SECONDS = 10;

    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> undelivered = new LinkedBlockingQueue<>();

    /** A received frame with its sender. */
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
        Received next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "no frame received");
        return next;
    }

    Frame awaitUndelivered() throws InterruptedException {
        Frame next = undelivered.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "no frame returned as undelivered");
        return next;
    }

    boolean receivedNothing() {
        return received.isEmpty();
    }
}
