package org.tarragonarch.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tarragonarch.model.id.NodeId;

/** Opens the channels between nodes and installs their handlers. */
final class PeerChannels {
    private static final int HELLOS_PER_IDLE_TIMEOUT = 3;

    private final EventLoopGroup group;
    private final Hello own;
    private final PeerRegistry registry;
    private final PeerListener listener;
    private final PeerNetworkSettings settings;

    PeerChannels(
            EventLoopGroup group,
            Hello own,
            PeerRegistry registry,
            PeerListener listener,
            PeerNetworkSettings settings) {
        this.group = group;
        this.own = own;
        this.registry = registry;
        this.listener = listener;
        this.settings = settings;
    }

    /** Listens at an address and passes each accepted channel to the consumer. */
    ChannelFuture bind(InetSocketAddress address, Consumer<Channel> accepted) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.accept(channel);
                    }
                })
                .bind(address);
    }

    /** Opens a channel to a peer. */
    ChannelFuture connect(NodeId peer, InetSocketAddress address, ConnectionOwner owner) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        addHandlers(channel, Optional.of(peer), owner);
                    }
                })
                .connect(address);
    }

    /**
     * Adds the handlers to a channel.
     *
     * @param expected the peer that this node connected to; empty for an accepted channel
     */
    void addHandlers(Channel channel, Optional<NodeId> expected, ConnectionOwner owner) {
        long idle = settings.idleTimeout().toMillis();
        channel.pipeline()
                .addLast(new IdleStateHandler(idle, idle / HELLOS_PER_IDLE_TIMEOUT, 0, TimeUnit.MILLISECONDS))
                .addLast(new LengthFieldBasedFrameDecoder(
                        FrameCodec.MAX_FRAME_BYTES, 0, FrameCodec.LENGTH_BYTES, 0, FrameCodec.LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(FrameCodec.LENGTH_BYTES))
                .addLast(new PeerConnection(own, expected, registry, listener, owner, newQueue()));
    }

    FrameQueue newQueue() {
        return new FrameQueue(settings.maxQueuedFrames(), settings.maxQueuedBytes());
    }
}
