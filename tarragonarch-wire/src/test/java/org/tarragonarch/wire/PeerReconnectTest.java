package org.tarragonarch.wire;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that frames of an earlier connection are not delivered after a disconnect or on a later connection. */
public final class PeerReconnectTest {
    private static final NodeId DEVONPORT = NodeId.of("devonport-1");
    private static final NodeId NEVER_MET = NodeId.of("launceston-1");
    private static final Hello PEER_HELLO = Samples.hello("devonport-1", 5);
    private static final JobOffered OFFER = new JobOffered(PlacingSamples.offer());
    private static final Frame MARKER = Samples.request(1);
    private static final Frame LATER = Samples.request(2);

    private RecordingListener hobart;
    private PeerNetwork network;

    @BeforeMethod
    public void startNetwork() throws Exception {
        PeerNetworkSettings settings = new PeerNetworkSettings(
                Duration.ofSeconds(1),
                Duration.ofSeconds(60),
                Duration.ofSeconds(60),
                Duration.ofMillis(500),
                Duration.ofMillis(500),
                16,
                2_000_000,
                64);
        InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        hobart = new RecordingListener();
        network = PeerNetwork.start(new InetSocketAddress(loopback, 0), Samples.HOBART, hobart, settings);
    }

    @AfterMethod
    public void closeNetwork() {
        network.close();
    }

    /** Guards against an offer that starts a job after its sender offered the job elsewhere. */
    @Test
    public void testDisconnect_frameQueuedForHello() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            Address address = RawPeer.addressOf(server);
            network.send(DEVONPORT, address, OFFER);
            try (RawPeer slow = RawPeer.accept(server)) {
                assertEquals(slow.read(), Samples.HOBART);
                disconnectAndAwait();
                network.send(DEVONPORT, address, LATER);
                slow.send(PEER_HELLO);
                assertEquals(firstFrame(server, slow), LATER);
            }
            assertEquals(hobart.awaitUndelivered(), OFFER);
        }
    }

    /** Guards against an offer queued during the backoff that reaches a peer after its sender disconnected it. */
    @Test
    public void testDisconnect_frameQueuedForNextAttempt() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            Address address = RawPeer.addressOf(server);
            network.send(DEVONPORT, address, Samples.request(3));
            RawPeer.accept(server).close();
            assertEquals(hobart.awaitUndelivered(), Samples.request(3));
            network.send(DEVONPORT, address, OFFER);
            disconnectAndAwait();
            network.send(DEVONPORT, address, LATER);
            try (RawPeer back = RawPeer.accept(server).send(PEER_HELLO)) {
                assertEquals(firstFrame(server, back), LATER);
            }
            assertEquals(hobart.awaitUndelivered(), OFFER);
        }
    }

    /** Guards against an offer that is delayed on a closed connection and accepted after its withdrawal. */
    @Test
    public void testReceived_lateFrameOnEarlierConnection() throws Exception {
        JobWithdrawn withdrawn = new JobWithdrawn(OFFER.offer().job().id());
        try (RawPeer earlier = RawPeer.connect(network.address()).send(PEER_HELLO, MARKER)) {
            assertEquals(hobart.awaitReceived().frame(), MARKER);
            try (RawPeer later = RawPeer.connect(network.address()).send(PEER_HELLO, withdrawn)) {
                assertEquals(hobart.awaitReceived().frame(), withdrawn);
                // The network closes this connection only after it has read everything that came before its end.
                earlier.send(OFFER).shutdownOutput().hellosBeforeClose();
                later.send(LATER);
                assertEquals(hobart.awaitReceived().frame(), LATER);
            }
        }
    }

    /** Guards against frames that are written to a silent connection after another with the same peer was lost. */
    @Test
    public void testClosed_otherConnectionIsReplaced() throws Exception {
        hobart.replacesOthers = true;
        try (ServerSocket server = RawPeer.listen();
                RawPeer incoming = RawPeer.connect(network.address()).send(PEER_HELLO, MARKER)) {
            assertEquals(hobart.awaitReceived().frame(), MARKER);
            network.send(DEVONPORT, RawPeer.addressOf(server), LATER);
            try (RawPeer outgoing = RawPeer.accept(server).send(PEER_HELLO)) {
                assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 5");
                assertEquals(firstFrame(server, outgoing), LATER);
                incoming.close();
                assertEquals(hobart.awaitConnectionEvent(), "interrupted devonport-1 5");
                outgoing.hellosBeforeClose();
            }
        }
    }

    /** Guards against frames that stay lost with a connection because one opened after its replacement stays open. */
    @Test
    public void testClosed_laterConnectionStaysOpen() throws Exception {
        hobart.replacesOthers = true;
        try (ServerSocket server = RawPeer.listen();
                RawPeer replaced = RawPeer.connect(network.address()).send(PEER_HELLO, MARKER)) {
            assertEquals(hobart.awaitReceived().frame(), MARKER);
            try (RawPeer replacement = RawPeer.connect(network.address()).send(PEER_HELLO)) {
                assertEquals(replacement.read(), Samples.HOBART);
                network.send(DEVONPORT, RawPeer.addressOf(server), LATER);
                try (RawPeer outgoing = RawPeer.accept(server).send(PEER_HELLO)) {
                    assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 5");
                    assertEquals(firstFrame(server, outgoing), LATER);
                    hobart.firstFrame = Optional.of(MARKER);
                    replaced.close();
                    assertEquals(hobart.awaitConnectionEvent(), "interrupted devonport-1 5");
                    assertEquals(firstFrame(server, outgoing), MARKER);
                }
            }
        }
    }

    /** Guards against a live peer that counts as lost because every connection with it was reset. */
    @Test
    public void testClosed_peerIsConnectedToAgain() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            network.send(DEVONPORT, RawPeer.addressOf(server), LATER);
            RawPeer.accept(server).send(PEER_HELLO).close();
            assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 5");
            assertEquals(hobart.awaitConnectionEvent(), "interrupted devonport-1 5");
            try (RawPeer again = RawPeer.accept(server).send(PEER_HELLO)) {
                assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 5");
                assertEquals(again.read(), Samples.HOBART);
            }
        }
    }

    /** Guards against frames that wait for the idle timeout of a connection that became silent before the hello. */
    @Test
    public void testConnect_noHello() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            network.send(DEVONPORT, RawPeer.addressOf(server), LATER);
            try (RawPeer silent = RawPeer.accept(server)) {
                silent.hellosBeforeClose();
            }
            assertEquals(hobart.awaitUndelivered(), LATER);
        }
    }

    /** Guards against a killed peer whose loss is not reported. */
    @Test
    public void testClosed_peerRefusesConnections() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            network.send(DEVONPORT, RawPeer.addressOf(server), LATER);
            RawPeer peer = RawPeer.accept(server).send(PEER_HELLO);
            assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 5");
            server.close();
            peer.close();
            assertEquals(hobart.awaitConnectionEvent(), "interrupted devonport-1 5");
            assertEquals(hobart.awaitConnectionEvent(), "disconnected devonport-1 5");
        }
    }

    /** Guards against a restarted peer that is taken for the incarnation which had the jobs of this node. */
    @Test
    public void testClosed_laterIncarnationResponds() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            network.send(DEVONPORT, RawPeer.addressOf(server), LATER);
            RawPeer.accept(server).send(PEER_HELLO).close();
            assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 5");
            assertEquals(hobart.awaitConnectionEvent(), "interrupted devonport-1 5");
            try (RawPeer again = RawPeer.accept(server).send(Samples.hello("devonport-1", 6))) {
                assertEquals(hobart.awaitConnectionEvent(), "disconnected devonport-1 5");
                assertEquals(hobart.awaitConnectionEvent(), "connected to devonport-1 6");
                assertEquals(again.read(), Samples.HOBART);
            }
        }
    }

    /**
     * Disconnects the peer and waits until the network's thread has done so: the next task of the thread returns the
     * marker as undelivered. A frame that the disconnect returns before the marker is recorded again for the test.
     */
    private void disconnectAndAwait() throws Exception {
        network.disconnect(DEVONPORT, "the peer was lost");
        network.reply(NEVER_MET, Incarnation.of(1), MARKER);
        Frame first = hobart.awaitUndelivered();
        if (!first.equals(MARKER)) {
            assertEquals(hobart.awaitUndelivered(), MARKER);
            hobart.undelivered(DEVONPORT, first);
        }
    }

    /** Returns the first frame other than a hello on this connection or, if it is closed, on the next ones. */
    private static Frame firstFrame(ServerSocket server, RawPeer connected) throws Exception {
        Optional<Frame> next = connected.readUnlessClosed();
        while (next.isPresent() && next.get() instanceof Hello) {
            next = connected.readUnlessClosed();
        }
        if (next.isPresent()) {
            return next.get();
        }
        try (RawPeer following = RawPeer.accept(server).send(PEER_HELLO)) {
            return firstFrame(server, following);
        }
    }
}
