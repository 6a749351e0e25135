package org.tarragonarch.wire;

import static org.testng.Assert.assertNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
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
    private final BlockingQueue<String> connectionEvents = new LinkedBlockingQueue<>();

    /** Whether the other connections with a peer are replaced after one is lost. */
    volatile boolean replacesOthers;

    /** The frame to begin with on each connection. */
    volatile Optional<Frame> firstFrame = Optional.empty();

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

    @Override
    public ImmutableList<Frame> firstFrames(NodeId peer, Incarnation run) {
        connectionEvents.add("connected to " + peer + " " + run);
        return firstFrame.map(ImmutableList::of).orElse(ImmutableList.of());
    }

    @Override
    public boolean interrupted(NodeId peer, Incarnation run) {
        connectionEvents.add("interrupted " + peer + " " + run);
        return replacesOthers;
    }

    @Override
    public void disconnected(NodeId peer, Incarnation run) {
        connectionEvents.add("disconnected " + peer + " " + run);
    }

    /** Returns the next connection that this node opened, or the next loss of a connection or of a peer. */
    String awaitConnectionEvent() throws InterruptedException {
        String next = connectionEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "no connection opened or lost");
        return next;
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
