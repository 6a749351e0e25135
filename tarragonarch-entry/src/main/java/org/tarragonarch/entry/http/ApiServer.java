package org.tarragonarch.entry.http;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/**
 * Runs a Jooby application on Netty with limits.
 *
 * <p>Jooby's own Netty server bounds neither headers, connections nor times, lets pipelined requests overtake one
 * another, keeps large bodies in files and does not tell of a client that hangs up. So the pipeline is built here, and
 * Jooby's router and context stand at its end.
 */
public final class ApiServer extends Server.Base {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int BACKLOG = 1_024;

    private final InetSocketAddress address;
    private final HttpLimits limits;
    private final HttpEvents events;
    private final ExchangeCount exchanges = new ExchangeCount();
    private final EventLoopGroup acceptor;
    private final EventLoopGroup workers;
    private Channel listener;

    private ApiServer(InetSocketAddress address, HttpLimits limits, HttpEvents events, String name, int threads) {
        this.address = address;
        this.limits = limits;
        this.events = events;
        this.acceptor = new NioEventLoopGroup(1, new DefaultThreadFactory(name + "-accept", true));
        this.workers = new NioEventLoopGroup(threads, new DefaultThreadFactory(name, true));
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param address where to listen; port 0 takes any free port
     * @param limits what clients may take up
     * @param events receives connections and cuts
     * @param name names the threads
     * @param threads how many network threads serve the connections
     */
    public static ApiServer create(
            InetSocketAddress address, HttpLimits limits, HttpEvents events, String name, int threads) {
        return new ApiServer(address, limits, events, name, threads);
    }

    /** Returns the socket address of a settings address. */
    public static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(address.ip(), address.port());
    }

    /**
     * Takes hold of the port and serves the application on it.
     *
     * @throws StepException if the port cannot be taken
     */
    public void serve(Jooby application) throws StepException {
        fireStart(ImmutableList.of(application), MoreExecutors.directExecutor());
        ConnectionLimiter limiter = new ConnectionLimiter(limits.maxConnections(), events);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(acceptor, workers)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        buildPipeline(channel, application, limiter);
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stop();
            throw new StepException(
                    Step.LIFECYCLE,
                    address.getHostString() + ":" + address.getPort(),
                    "cannot listen: " + bound.cause().getMessage(),
                    bound.cause());
        }
        listener = bound.channel();
        fireReady(ImmutableList.of(application));
    }

    /** Returns the port that was taken. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Waits until every request that was taken has its whole answer.
     *
     * <p>A node that has left has decided every answer, but the last ones may still be on their way out; the process
     * must not end before they are.
     *
     * @return whether all are answered; false if the bound passed first
     */
    public boolean awaitAllAnswered(Duration bound) throws InterruptedException {
        return exchanges.awaitNone(bound);
    }

    private void buildPipeline(SocketChannel channel, Jooby application, ConnectionLimiter limiter) {
        ConnectionTimer timer = new ConnectionTimer(limits, events);
        channel.pipeline()
                .addLast(limiter)
                .addLast(new WriteTimeoutHandler(limits.sendTimeout().toNanos(), TimeUnit.NANOSECONDS))
                .addLast(timer)
                .addLast(new HttpServerCodec(MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES))
                .addLast(new HttpServerKeepAliveHandler())
                .addLast(new RequestGate(timer, exchanges))
                .addLast(new RequestAggregator(limits.maxRequestBytes(), events))
                .addLast(new RouterHandler(application, events));
    }

    @Override
    public Server start(Jooby application) {
        throw new UnsupportedOperationException("serve is used instead, as its error is checked");
    }

    /** Stops listening and closes what is still open; does not wait for it. */
    @Override
    public Server stop() {
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return this;
    }

    @Override
    public Server setOptions(ServerOptions options) {
        return this;
    }

    @Override
    public ServerOptions getOptions() {
        return new ServerOptions();
    }

    @Override
    public String getName() {
        return "netty";
    }
}
