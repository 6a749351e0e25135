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
 * The connections of one node to its peers: one listening port, and one outgoing connection to each peer that frames
 * are sent to.
 *
 * <p>Thread-safe. All work is done on a single event loop thread. Only {@link #start}, {@link #startOn} and
 * {@link #close} block.
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
        this.channels =
                new PeerChannels(group, own, registry, new ReconnectingListener(listener, this::reconnect), settings);
    }

    /**
     * Starts to listen with the default settings.
     *
     * @param bind the address to listen at
     * @param own the hello of this node
     * @param listener receives frames and connection events
     * @throws StepException if the address cannot be bound
     */
    public static PeerNetwork start(Address bind, Hello own, PeerListener listener) throws StepException {
        return start(socketAddress(bind), own, listener, PeerNetworkSettings.DEFAULT);
    }

    /**
     * Starts to listen with the given settings, at a port chosen by the operating system if the address has port 0.
     *
     * @throws StepException if the address cannot be bound
     */
    public static PeerNetwork start(
            InetSocketAddress bind, Hello own, PeerListener listener, PeerNetworkSettings settings)
            throws StepException {
        EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("peer-network", true));
        return listen(new PeerNetwork(group, true, own, listener, settings), bind);
    }

    /**
     * Starts to listen on an event loop thread that is shared with other connections.
     *
     * @param group a group of one thread, on which the listener is called; {@link #close} does not shut it down
     * @throws StepException if the address cannot be bound
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

    /** Returns the address at which this node listens. */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        return new Address(InetAddresses.toAddrString(bound.getAddress()), bound.getPort());
    }

    /**
     * Sends a frame to whichever incarnation of the peer listens at the address.
     *
     * <p>To respond to a frame of a peer, use {@link #reply} instead.
     */
    public void send(NodeId peer, Address address, Frame frame) {
        execute(() -> sendEncoded(peer, address, EncodedFrame.of(frame)));
    }

    /** Sends a frame to several peers; it is encoded once. */
    public void sendToAll(Iterable<Member> peers, Frame frame) {
        ImmutableList<Member> receivers = ImmutableList.copyOf(peers);
        execute(() -> {
            EncodedFrame encoded = EncodedFrame.of(frame);
            receivers.forEach(peer -> sendEncoded(peer.node(), peer.address(), encoded));
        });
    }

    /**
     * Sends a frame to one incarnation of the peer, over any open connection to it, and to no other incarnation.
     *
     * <p>Needs no address, so a node that the platform does not list yet is answered over the connection on which its
     * request arrived.
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
     * Closes every connection to the peer and returns queued frames as undelivered; the next frame opens a new
     * connection.
     *
     * <p>Guards against connections that become silent for good, in one or both directions, while new ones work:
     * frames would be lost on them until their idle timeout.
     */
    public void disconnect(NodeId peer, String reason) {
        execute(() -> {
            Optional.ofNullable(links.get(peer)).ifPresent(PeerLink::returnQueued);
            registry.connectionsWith(peer).forEach(connection -> connection.close(reason));
        });
    }

    /**
     * Closes every connection and stops listening. Frames handed in before are still sent if they can be written at
     * once.
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

    /** Reports the loss of an incarnation unless the peer has opened a connection itself. */
    void reportDisconnected(NodeId peer, Incarnation run) {
        if (registry.find(peer, run).isEmpty()) {
            listener.disconnected(peer, run);
        }
    }

    /** Starts to open a new connection to an incarnation of a peer; returns whether frames are sent to the peer. */
    private boolean reconnect(NodeId peer, Incarnation run) {
        PeerLink link = links.get(peer);
        return link != null && link.reconnect(run);
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

    /** Returns whether a frame is short enough to be sent; returns a longer one as undelivered. */
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
}
