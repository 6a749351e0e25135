package org.tarragonarch.platform.connection;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * Fails a call with {@link ClosedConnectionException} if the server has closed the persistent connection chosen for it.
 *
 * <p>Guards against lost requests after a server has died and been replaced: one request is written to each connection
 * that was open to it, and its outcome is reported as unknown although nobody read it. The check runs before the first
 * byte of the request. In HTTP/1.1 a server sends nothing between two exchanges, so a connection on which data or the
 * end of the stream has arrived is unusable. A connection that closes between the check and the write still results in
 * a lost answer. The check costs one non-blocking read.
 */
public final class ClosedConnectionCheck implements Interceptor {
    private ClosedConnectionCheck() {}

    /** Adds the check to a client, which must use HTTP/1.1 without TLS. */
    public static OkHttpClient.Builder addTo(OkHttpClient.Builder client) {
        return client.socketFactory(new ChannelSocketFactory()).addNetworkInterceptor(new ClosedConnectionCheck());
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Socket socket = chain.connection().socket();
        if (!isOpenAndSilent(socket.getChannel())) {
            // The connection pool discards a connection whose socket is closed, so the next call gets another one.
            socket.close();
            throw new ClosedConnectionException("the persistent connection to "
                    + chain.request().url().host() + ":" + chain.request().url().port() + " was closed");
        }
        return chain.proceed(chain.request());
    }

    /** Returns whether the connection is open and nothing has arrived on it. */
    private static boolean isOpenAndSilent(SocketChannel channel) {
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
