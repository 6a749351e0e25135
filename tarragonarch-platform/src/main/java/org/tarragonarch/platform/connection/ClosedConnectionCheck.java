package org.tarragonarch.platform.connection;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * Fails a call with {@link ClosedConnectionException} if the peer has closed the kept connection that it was given.
 *
 * <p>The failure it guards against: a worker dies and is replaced, and each connection kept to it swallows one request,
 * which is then answered as unknown although no one read it. The guard holds since it runs before the request's first
 * byte: HTTP/1.1 gives the client nothing to read between two exchanges, so anything but silence means that the
 * connection cannot be used. What closes between the check and the write still ends as a lost answer. It costs one read
 * that does not wait.
 */
public final class ClosedConnectionCheck implements Interceptor {
    private ClosedConnectionCheck() {}

    /** Adds the check to a client; the client's connections must be without TLS and HTTP/1.1. */
    public static OkHttpClient.Builder addTo(OkHttpClient.Builder client) {
        return client.socketFactory(new ChannelSocketFactory()).addNetworkInterceptor(new ClosedConnectionCheck());
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Socket socket = chain.connection().socket();
        if (!silent(socket.getChannel())) {
            // The pool finds a closed socket unusable, so the next call gets another connection.
            socket.close();
            throw new ClosedConnectionException("the kept connection to "
                    + chain.request().url().host() + ":" + chain.request().url().port() + " was closed");
        }
        return chain.proceed(chain.request());
    }

    /** Returns whether the connection is open and nothing has arrived on it. */
    private static boolean silent(SocketChannel channel) {
        try {
            channel.configureBlocking(false);
            int read = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return read == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
