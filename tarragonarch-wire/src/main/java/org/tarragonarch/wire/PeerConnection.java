package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * One end of a connection: sends a hello, checks the hello of the other end, then passes frames both ways.
 *
 * <p>Any error in what the other end sends closes this connection only and is logged in one line. An idle end repeats
 * its hello, so that a connection to a peer that is frozen, or whose machine vanished without closing it, is recognised
 * by its silence and closed.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The age from which a connection may be replaced without a delay, in milliseconds. */
    private static final long STABLE_MILLIS = 400;

    private final Hello own;
    private final Optional<NodeId> expectedPeer;
    private final PeerRegistry registry;
    private final PeerListener listener;
    private final ConnectionOwner owner;
    private final FrameQueue queue;
    private ChannelHandlerContext context;
    private Optional<Hello> peerHello = Optional.empty();
    private boolean hasReceived;
    private long openedAtNanos;

    /**
     * Creates one end of a connection.
     *
     * @param own the hello of this node
     * @param expectedPeer the node that this node connected to; empty for an incoming connection
     * @param owner is notified when the connection opens and closes
     */
    PeerConnection(
            Hello own,
            Optional<NodeId> expected,
            PeerRegistry registry,
            PeerListener listener,
            ConnectionOwner owner,
            FrameQueue queue) {
        this.own = own;
        this.expectedPeer = expected;
        this.registry = registry;
        this.listener = listener;
        this.owner = owner;
        this.queue = queue;
    }

    Optional<NodeId> expectedPeer() {
        return expectedPeer;
    }

    /** Returns whether the other end opened the connection. */
    boolean isIncoming() {
        return expectedPeer.isEmpty();
    }

    Optional<Hello> peerHello() {
        return peerHello;
    }

    boolean belongsTo(Incarnation run) {
        return peerHello.filter(known -> known.incarnation().equals(run)).isPresent();
    }

    /** Returns whether frames may be sent; false once closing has begun. */
    boolean isOpen() {
        return context.channel().isOpen();
    }

    /** Returns whether the connection was open for long enough that a new one can be opened without a delay. */
    boolean isStable() {
        return peerHello.isPresent()
                && System.nanoTime() - openedAtNanos > TimeUnit.MILLISECONDS.toNanos(STABLE_MILLIS);
    }

    /** Queues a frame and writes it as soon as the channel is writable; the connection must be open. */
    void send(EncodedFrame frame) {
        queue.offer(frame).forEach(this::returnUndelivered);
        flush();
    }

    /** Sends the frames with which this node begins on a connection, or goes on after the loss of another one. */
    void sendFirstFrames() {
        Hello hello = peerHello.orElseThrow();
        listener.firstFrames(hello.node(), hello.incarnation()).stream()
                .map(EncodedFrame::of)
                .forEach(this::send);
    }

    /** Closes the connection and logs the reason. */
    void close(String reason) {
        if (context.channel().isOpen()) {
            LOGGER.atWarning().log(
                    "peer-connection-closed step=peer peer=%s remote=%s reason=\"%s\"",
                    peerName(), context.channel().remoteAddress(), reason);
        }
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        sendHello();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext from, ByteBuf message) {
        if (!from.channel().isOpen()) {
            return;
        }
        try {
            handle(FrameCodec.decode(peerName(), peerHello, ByteBufUtil.getBytes(message)));
        } catch (MalformedFrameException e) {
            close(e.getMessage());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        flush();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext idle, Object event) {
        if (event instanceof IdleStateEvent state && state.state() == IdleState.READER_IDLE) {
            close("silent");
        } else if (event instanceof IdleStateEvent) {
            sendHello();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        ImmutableList<PeerConnection> others = registry.openedBeforeReplacementOf(this);
        boolean wasRegistered = registry.remove(this);
        queue.drain().forEach(this::returnUndelivered);
        owner.closed(this);
        if (wasRegistered) {
            handleInterruption(others);
        }
    }

    private void handleInterruption(ImmutableList<PeerConnection> others) {
        NodeId peer = peerHello.orElseThrow().node();
        Incarnation run = peerHello.orElseThrow().incarnation();
        if (listener.interrupted(peer, run)) {
            others.forEach(other -> other.close("another connection with the peer was lost"));
            registry.findOutgoing(peer, run).ifPresent(PeerConnection::sendFirstFrames);
        }
        if (registry.find(peer, run).isEmpty()) {
            listener.disconnected(peer, run);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        String kind = cause instanceof DecoderException ? "unreadable: " : "broken: ";
        close(kind + cause.getMessage());
    }

    private void handle(Frame frame) throws MalformedFrameException {
        if (frame instanceof Hello received) {
            handleHello(received);
        } else if (peerHello.isEmpty()) {
            throw new MalformedFrameException(peerName(), "frame received before the hello");
        } else {
            if (isIncoming() && !hasReceived) {
                hasReceived = true;
                registry.closeEarlierIncoming(this);
            }
            listener.received(peerHello.get().node(), peerHello.get().incarnation(), frame);
        }
    }

    private void handleHello(Hello received) throws MalformedFrameException {
        if (peerHello.isPresent()) {
            if (!peerHello.get().equals(received)) {
                throw new MalformedFrameException(peerName(), "hello of another node or incarnation: " + received);
            }
            return;
        }
        Optional<String> refusal = registry.admit(this, received);
        if (refusal.isPresent()) {
            close("the other end " + refusal.get());
            return;
        }
        peerHello = Optional.of(received);
        openedAtNanos = System.nanoTime();
        owner.opened(this);
    }

    private void sendHello() {
        context.writeAndFlush(Unpooled.wrappedBuffer(FrameCodec.encode(own)));
    }

    private void flush() {
        boolean written = false;
        while (context.channel().isWritable() && !queue.isEmpty()) {
            context.write(Unpooled.wrappedBuffer(queue.poll().orElseThrow().bytes()));
            written = true;
        }
        if (written) {
            context.flush();
        }
    }

    private void returnUndelivered(EncodedFrame frame) {
        if (!frame.isDroppable() && peerHello.isPresent()) {
            listener.undelivered(peerHello.get().node(), frame.frame());
        }
    }

    private String peerName() {
        return peerHello
                .map(Hello::node)
                .or(() -> expectedPeer)
                .map(NodeId::value)
                .orElse("unknown");
    }
}
