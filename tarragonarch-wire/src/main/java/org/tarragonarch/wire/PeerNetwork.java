package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.common.net.InetAddresses;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.Member;

/**
 * The connections of one node with the others: one listening port, and one outgoing connection for each peer that there
 * is something to send to.
 *
 * <p>Safe for use by any thread. Everything happens on one thread of its own; no method blocks but {@link #start} and
 * {@link #close}.
 */
public final class PeerNetwork implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final PeerListener listener;
    private final PeerNetworkSettings settings;
    private final PeerRegistry registry;
    private final PeerChannels channels;
    private final EventLoopGroup group;
    private final boolean ownGroup;
    private final EventExecutor thread;
    private final ChannelGroup incoming;
    private final Map<NodeId, PeerLink> links = new HashMap<>();
    private Channel server;

    private PeerNetwork(
            EventLoopGroup group, boolean ownGroup, Hello own, PeerListener listener, PeerNetworkSettings settings) {
        this.group = group;
        this.ownGroup = ownGroup;
        this.thread = group.next();
        this.incoming = new DefaultChannelGroup(thread);
        this.listener = listener;
        this.settings = settings;
        this.registry = new PeerRegistry(own);
        this.channels = new PeerChannels(group, own, registry, listener, settings);
    }

    /**
     * Starts to listen.
     *
     * @param bind where to listen
     * @param own who this node is
     * @param listener takes what comes from peers
     * @throws StepException if the address cannot be listened at
     */
    public static PeerNetwork start(Address bind, Hello own, PeerListener listener) throws StepException {
        return start(socketAddress(bind), own, listener, PeerNetworkSettings.DEFAULT);
    }

    /**
     * Starts to listen, with other times and bounds, and at a port of the system's choice if the address names port 0.
     *
     * @throws StepException if the address cannot be listened at
     */
    public static PeerNetwork start(
            InetSocketAddress bind, Hello own, PeerListener listener, PeerNetworkSettings settings)
            throws StepException {
        EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("peer-network", true));
        return listen(new PeerNetwork(group, true, own, listener, settings), bind);
    }

    /**
     * Starts to listen on a thread that serves other connections too.
     *
     * @param group a group of one thread, on which the listener is called; it outlives this network
     * @throws StepException if the address cannot be listened at
     */
    public static PeerNetwork startOn(
            EventLoopGroup group, Address bind, Hello own, PeerListener listener, PeerNetworkSettings settings)
            throws StepException {
        return listen(new PeerNetwork(group, false, own, listener, settings), socketAddress(bind));
    }

    private static PeerNetwork listen(PeerNetwork network, InetSocketAddress bind) throws StepException {
        try {
            network.listen(bind);
            return network;
        } catch (StepException e) {
            network.close();
            throw e;
        }
    }

    /** Returns where this node listens. */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        return new Address(InetAddresses.toAddrString(bound.getAddress()), bound.getPort());
    }

    /**
     * Sends a frame to whatever run of the peer listens at the address.
     *
     * <p>What answers a peer's frame goes by {@link #reply} instead.
     */
    public void send(NodeId peer, Address address, Frame frame) {
        execute(() -> sendEncoded(peer, address, EncodedFrame.of(frame)));
    }

    /** Sends one frame to many peers; it is encoded once. */
    public void sendToAll(Iterable<Member> peers, Frame frame) {
        ImmutableList<Member> receivers = ImmutableList.copyOf(peers);
        execute(() -> {
            EncodedFrame encoded = EncodedFrame.of(frame);
            receivers.forEach(peer -> sendEncoded(peer.node(), peer.address(), encoded));
        });
    }

    /**
     * Sends a frame to one run of the peer, by any connection that is open with it, and to no other run.
     *
     * <p>Needs no address, so a node that is not yet on the platform's list gets its answer by the connection that its
     * question came by.
     */
    public void reply(NodeId peer, Incarnation run, Frame frame) {
        execute(() -> {
            EncodedFrame encoded = EncodedFrame.of(frame);
            if (fits(peer, encoded)) {
                registry.find(peer, run)
                        .ifPresentOrElse(
                                connection -> connection.send(encoded), () -> returnUndelivered(peer, encoded));
            }
        });
    }

    /**
     * Closes every connection with the peer and gives back what waits for one; the next frame opens a new one.
     *
     * <p>Guards against connections that go silent for good, one way or both, while new ones work: frames would go into
     * them until their idle timeout.
     */
    public void disconnect(NodeId peer, String reason) {
        execute(() -> {
            Optional.ofNullable(links.get(peer)).ifPresent(PeerLink::returnQueued);
            registry.connectionsWith(peer).forEach(connection -> connection.close(reason));
        });
    }

    /**
     * Closes every connection and stops listening; what was handed in before and the peers take at once still leaves.
     */
    @Override
    public void close() {
        if (!ownGroup) {
            thread.execute(() -> {
                incoming.close();
                ImmutableList.copyOf(links.values()).forEach(link -> link.retire("closed"));
                server.close();
            });
            return;
        }
        if (!group.isShuttingDown()) {
            thread.submit(() -> {}).awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
        }
        group.shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    }

    FrameQueue newQueue() {
        return channels.newQueue();
    }

    ChannelFuture connect(NodeId peer, Address address, ConnectionOwner owner) {
        return channels.connect(peer, socketAddress(address), owner);
    }

    void schedule(Duration wait, Runnable task) {
        thread.schedule(task, wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    Optional<EncodedFrame> firstFrame(NodeId peer) {
        return listener.firstFrame(peer).map(EncodedFrame::of);
    }

    void returnUndelivered(NodeId peer, EncodedFrame frame) {
        if (!frame.isDroppable()) {
            listener.undelivered(peer, frame.frame());
        }
    }

    private void listen(InetSocketAddress bind) throws StepException {
        ChannelFuture bound = channels.bind(bind, this::accept).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new StepException(
                    Step.LIFECYCLE,
                    bind.toString(),
                    "cannot listen: " + bound.cause().getMessage(),
                    bound.cause());
        }
        server = bound.channel();
        long sweep = settings.unusedTimeout().toMillis();
        thread.scheduleAtFixedRate(this::retireUnused, sweep, sweep, TimeUnit.MILLISECONDS);
    }

    private void accept(Channel channel) {
        if (incoming.size() >= settings.maxConnections()) {
            LOGGER.atWarning().log("peer-connection-refused step=peer remote=%s reason=\"too many\"", channel);
            channel.close();
            return;
        }
        incoming.add(channel);
        channels.addHandlers(channel, Optional.empty(), IncomingOwner.INSTANCE);
    }

    private void sendEncoded(NodeId peer, Address address, EncodedFrame encoded) {
        if (fits(peer, encoded)) {
            link(peer, address).send(encoded);
        }
    }

    /** Returns whether a frame may leave; one that is too long is given back. */
    private boolean fits(NodeId peer, EncodedFrame encoded) {
        if (encoded.bytes().length <= FrameCodec.MAX_FRAME_BYTES) {
            return true;
        }
        LOGGER.atWarning().log(
                "peer-frame-too-long step=peer peer=%s bytes=%d most=%d",
                peer, encoded.bytes().length, FrameCodec.MAX_FRAME_BYTES);
        returnUndelivered(peer, encoded);
        return false;
    }

    private PeerLink link(NodeId peer, Address address) {
        PeerLink known = links.get(peer);
        if (known != null && known.address().equals(address)) {
            return known;
        }
        if (known != null) {
            known.retire("the peer moved to " + address);
        }
        PeerLink link = new PeerLink(peer, address, this, settings);
        links.put(peer, link);
        return link;
    }

    private void retireUnused() {
        long now = System.nanoTime();
        for (PeerLink link : ImmutableList.copyOf(links.values())) {
            if (link.isUnused(now)) {
                links.remove(link.peer());
                link.retire("unused");
            }
        }
    }

    private void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            LOGGER.atFine().log("peer-frame-after-close step=peer");
        }
    }

    private static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(InetAddresses.forString(address.ip()), address.port());
    }

    /** An incoming connection belongs to nobody: the other end opens it again when it needs it. */
    private enum IncomingOwner implements ConnectionOwner {
        INSTANCE;

        @Override
        public void opened(PeerConnection connection) {}

        @Override
        public void closed(PeerConnection connection) {}
    }
}
