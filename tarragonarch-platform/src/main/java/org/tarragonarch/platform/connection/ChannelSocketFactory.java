package org.tarragonarch.platform.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.channels.SocketChannel;
import javax.net.SocketFactory;

/** Creates sockets that have a channel, which allows non-blocking reads; OkHttp connects them itself. */
final class ChannelSocketFactory extends SocketFactory {
    @Override
    public Socket createSocket() throws IOException {
        return SocketChannel.open().socket();
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        throw unconnectedOnly();
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        throw unconnectedOnly();
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        throw unconnectedOnly();
    }

    @Override
    public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
            throws IOException {
        throw unconnectedOnly();
    }

    private static SocketException unconnectedOnly() {
        return new SocketException("this factory creates unconnected sockets only");
    }
}
