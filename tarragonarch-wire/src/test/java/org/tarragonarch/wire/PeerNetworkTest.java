package org.tarragonarch.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PeerNetworkTest {
    private static final NodeId HOBART = NodeId.of("hobart-1");
    private static final NodeId DEVONPORT = NodeId.of("devonport-1");
    private static final Duration PATIENT = Duration.ofSeconds(60);
    private static final Duration QUICK = Duration.ofMillis(1200);

    private final List<PeerNetwork> networks = new ArrayList<>();
    private RecordingListener hobart;
    private RecordingListener devonport;

    @BeforeMethod
    public void createListeners() {
        hobart = new RecordingListener();
        devonport = new RecordingListener();
    }

    @AfterMethod
    public void closeNetworks() {
        networks.forEach(PeerNetwork::close);
        networks.clear();
    }

    @Test
    public void testSend() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart);
        PeerNetwork to = start("devonport-1", 1, devonport);
        from.send(DEVONPORT, to.address(), Samples.request(3));
        assertEquals(
                devonport.awaitReceived(),
                new RecordingListener.Received(HOBART, Incarnation.of(7), Samples.request(3)));
    }

    @Test
    public void testReply_usesConnectionOfRequest() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart);
        PeerNetwork to = start("devonport-1", 1, devonport);
        from.send(DEVONPORT, to.address(), Samples.request(3));
        RecordingListener.Received asked = devonport.awaitReceived();
        AnswerGiven answer = AnswerGiven.complete(3, Payload.of(new byte[1_000_000]));
        to.reply(asked.peer(), asked.run(), answer);
        assertEquals(hobart.awaitReceived().frame(), answer);
    }

    /** Guards against an answer for a killed node that reaches its next incarnation, and there another caller. */
    @Test
    public void testReply_peerRestarted() throws Exception {
        PeerNetwork to = start("devonport-1", 1, devonport);
        PeerNetwork first = start("hobart-1", 7, hobart);
        first.send(DEVONPORT, to.address(), Samples.request(3));
        devonport.awaitReceived();
        Address address = first.address();
        first.close();
        PeerNetwork second = startAt(address, "hobart-1", 8, hobart);
        second.send(DEVONPORT, to.address(), Samples.request(3));
        assertEquals(devonport.awaitReceived().run(), Incarnation.of(8));
        AnswerGiven late = AnswerGiven.complete(3, Samples.payload("\"of the first run\""));
        AnswerGiven right = AnswerGiven.complete(3, Samples.payload("\"of the second run\""));
        to.reply(HOBART, Incarnation.of(7), late);
        to.reply(HOBART, Incarnation.of(8), right);
        assertEquals(hobart.awaitReceived().frame(), right);
        assertEquals(devonport.awaitUndelivered(), late);
    }

    @Test
    public void testSend_peerRestartedAtSameAddress() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart);
        PeerNetwork to = start("devonport-1", 1, devonport);
        from.send(DEVONPORT, to.address(), Samples.request(1));
        devonport.awaitReceived();
        Address address = to.address();
        to.close();
        RecordingListener restarted = new RecordingListener();
        startAt(address, "devonport-1", 2, restarted);
        sendUntilReceived(from, address, restarted);
    }

    /** Guards against frames exchanged with a replaced node whose frozen process resumes. */
    @Test
    public void testHello_earlierRunIsRefused() throws Exception {
        PeerNetwork network = start("hobart-1", 7, hobart);
        try (RawPeer current = RawPeer.connect(network.address()).send(Samples.hello("devonport-1", 5));
                RawPeer woken = RawPeer.connect(network.address());
                ServerSocket wokenServer = RawPeer.listen()) {
            current.send(Samples.request(1));
            hobart.awaitReceived();
            woken.send(Samples.hello("devonport-1", 4), Samples.request(2));
            woken.hellosBeforeClose();
            network.send(DEVONPORT, RawPeer.addressOf(wokenServer), Samples.request(3));
            try (RawPeer called = RawPeer.accept(wokenServer).send(Samples.hello("devonport-1", 4))) {
                called.hellosBeforeClose();
            }
            assertEquals(hobart.awaitUndelivered(), Samples.request(3));
            assertTrue(hobart.receivedNothing());
        }
    }

    @Test
    public void testHello_laterRunClosesEarlierConnection() throws Exception {
        PeerNetwork network = start("hobart-1", 7, hobart);
        try (RawPeer earlier = RawPeer.connect(network.address()).send(Samples.hello("devonport-1", 5));
                RawPeer later = RawPeer.connect(network.address())) {
            earlier.send(Samples.request(1));
            hobart.awaitReceived();
            later.send(Samples.hello("devonport-1", 6));
            assertTrue(earlier.hellosBeforeClose() >= 1);
        }
    }

    /** Guards against a frame that reaches another node because the address of its receiver was reassigned. */
    @Test
    public void testSend_addressOfAnotherNode() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart);
        PeerNetwork other = start("launceston-1", 1, devonport);
        from.send(DEVONPORT, other.address(), Samples.request(3));
        assertEquals(hobart.awaitUndelivered(), Samples.request(3));
        assertTrue(devonport.receivedNothing());
    }

    @Test
    public void testSend_connectionRefused() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart);
        Address nobody;
        try (ServerSocket closed = RawPeer.listen()) {
            nobody = RawPeer.addressOf(closed);
        }
        from.send(DEVONPORT, nobody, Samples.request(3));
        assertEquals(hobart.awaitUndelivered(), Samples.request(3));
    }

    @Test
    public void testSend_frameTooLong() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart);
        AnswerGiven tooLong = AnswerGiven.complete(1, Payload.of(new byte[FrameCodec.MAX_FRAME_BYTES]));
        from.send(DEVONPORT, new Address("127.0.0.1", 1), tooLong);
        assertEquals(hobart.awaitUndelivered(), tooLong);
    }

    /** Guards against a partial frame kept for good after a peer froze while sending. */
    @Test
    public void testIdleTimeout_afterPartialFrame() throws Exception {
        PeerNetwork network = start("hobart-1", 7, hobart, QUICK);
        try (RawPeer peer = RawPeer.connect(network.address())) {
            peer.send(Samples.hello("devonport-1", 5)).write(100, new byte[40]);
            assertTrue(peer.hellosBeforeClose() >= 1);
        }
        assertTrue(hobart.receivedNothing());
    }

    /** Guards against frames sent into the connection of a vanished machine, which is never closed by the other end. */
    @Test
    public void testIdleTimeout_silentPeerIsReconnected() throws Exception {
        PeerNetwork network = start("hobart-1", 7, hobart, QUICK);
        try (ServerSocket server = RawPeer.listen()) {
            Address address = RawPeer.addressOf(server);
            network.send(DEVONPORT, address, Samples.request(1));
            try (RawPeer silent = RawPeer.accept(server).send(Samples.hello("devonport-1", 5))) {
                assertEquals(silent.read(), Samples.hello("hobart-1", 7));
                assertEquals(silent.read(), Samples.request(1));
                silent.hellosBeforeClose();
            }
            network.send(DEVONPORT, address, Samples.request(2));
            try (RawPeer again = RawPeer.accept(server).send(Samples.hello("devonport-1", 5))) {
                assertEquals(again.read(), Samples.hello("hobart-1", 7));
                assertEquals(again.read(), Samples.request(2));
            }
        }
    }

    @Test
    public void testIdleTimeout_hellosKeepConnectionOpen() throws Exception {
        PeerNetwork from = start("hobart-1", 7, hobart, QUICK);
        try (ServerSocket server = RawPeer.listen()) {
            from.send(DEVONPORT, RawPeer.addressOf(server), Samples.request(1));
            try (RawPeer peer = RawPeer.accept(server).send(Samples.hello("devonport-1", 5))) {
                assertEquals(peer.read(), Samples.hello("hobart-1", 7));
                assertEquals(peer.read(), Samples.request(1));
                for (int i = 0; i < 6; i++) {
                    assertEquals(peer.read(), Samples.hello("hobart-1", 7));
                    peer.send(Samples.hello("devonport-1", 5));
                }
            }
        }
    }

    @Test
    public void testReceive_malformedBytesCloseOnlyTheirConnection() throws Exception {
        PeerNetwork network = start("hobart-1", 7, hobart);
        Hello hello = Samples.hello("devonport-1", 5);
        Hello otherVersion = new Hello(Hello.PROTOCOL_VERSION + 1, hello.node(), hello.incarnation(), hello.domain());
        try (RawPeer good = RawPeer.connect(network.address()).send(hello);
                RawPeer overLong =
                        RawPeer.connect(network.address()).send(hello).write(FrameCodec.MAX_FRAME_BYTES + 1);
                RawPeer negative =
                        RawPeer.connect(network.address()).send(hello).write(-5);
                RawPeer garbage =
                        RawPeer.connect(network.address()).send(hello).write(3, (byte) 1, (byte) 2, (byte) 3);
                RawPeer unnamed = RawPeer.connect(network.address()).send(Samples.request(1));
                RawPeer renamed =
                        RawPeer.connect(network.address()).send(hello).send(Samples.hello("launceston-1", 1));
                RawPeer version = RawPeer.connect(network.address()).send(otherVersion)) {
            for (RawPeer bad : ImmutableList.of(overLong, negative, garbage, unnamed, renamed, version)) {
                bad.hellosBeforeClose();
            }
            good.send(Samples.request(2));
            assertEquals(hobart.awaitReceived().frame(), Samples.request(2));
        }
    }

    private PeerNetwork start(String node, long run, PeerListener listener) throws Exception {
        return start(node, run, listener, PATIENT);
    }

    private PeerNetwork start(String node, long run, PeerListener listener, Duration idle) throws Exception {
        InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        return start(new InetSocketAddress(loopback, 0), Samples.hello(node, run), listener, idle);
    }

    private PeerNetwork startAt(Address address, String node, long run, PeerListener listener) throws Exception {
        return start(new InetSocketAddress(address.ip(), address.port()), Samples.hello(node, run), listener, PATIENT);
    }

    private PeerNetwork start(InetSocketAddress bind, Hello hello, PeerListener listener, Duration idle)
            throws Exception {
        PeerNetworkSettings settings = new PeerNetworkSettings(
                Duration.ofSeconds(1),
                idle,
                Duration.ofSeconds(60),
                Duration.ofMillis(20),
                Duration.ofMillis(100),
                16,
                2_000_000,
                64);
        PeerNetwork network = PeerNetwork.start(bind, hello, listener, settings);
        networks.add(network);
        return network;
    }

    /** Repeats a request, since the first ones may be lost on the connection to the earlier incarnation. */
    private static void sendUntilReceived(PeerNetwork from, Address address, RecordingListener to) throws Exception {
        long deadline = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (to.receivedNothing()) {
            assertTrue(System.nanoTime() < deadline, "the next incarnation received nothing");
            from.send(DEVONPORT, address, Samples.request(2));
            Thread.sleep(10);
        }
    }
}
