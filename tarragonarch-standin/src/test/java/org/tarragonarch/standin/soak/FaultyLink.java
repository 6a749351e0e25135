package org.tarragonarch.standin.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A TCP proxy on loopback that can delay or drop bytes and reset connections. */
final class FaultyLink implements AutoCloseable {
    /** How a link treats the bytes it receives. */
    enum Mode {
        /** Forwards them. */
        CLEAR,
        /** Forwards them after a delay. */
        DELAYED,
        /** Forwards bytes from the client and drops those from the server. */
        ONE_WAY,
        /** Drops them; connections stay open. */
        SILENT,
        /** Resets open connections and each new one. */
        RESET;

        boolean forwards(boolean forward) {
            return this == CLEAR || this == DELAYED || this == ONE_WAY && forward;
        }
    }

    private static final int BUFFER_BYTES = 8_192;

    /** Exceeds the time that a node waits for the answer to an order. */
    private static final long DELAY_MILLIS = 80;

    private final int target;
    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.CLEAR;

    /** Starts a link to a port on loopback. */
    FaultyLink(int target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Sets the mode, which also applies to open connections. */
    void setMode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            sockets.forEach(FaultyLink::reset);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        sockets.forEach(FaultyLink::reset);
        threads.shutdownNow();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                threads.execute(() -> connect(from));
            } catch (IOException e) {
                if (!server.isClosed()) {
                    throw new IllegalStateException("the proxy cannot accept connections", e);
                }
            }
        }
    }

    private void connect(Socket from) {
        sockets.add(from);
        if (mode == Mode.RESET) {
            reset(from);
            return;
        }
        try {
            Socket to = new Socket();
            to.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target));
            sockets.add(to);
            threads.execute(() -> pump(from, to, true));
            threads.execute(() -> pump(to, from, false));
        } catch (IOException e) {
            // Nothing listens on the target port, so the client gets a reset.
            reset(from);
        }
    }

    private void pump(Socket from, Socket to, boolean forward) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            int count = in.read(buffer);
            while (count >= 0) {
                if (mode == Mode.DELAYED) {
                    Thread.sleep(DELAY_MILLIS);
                }
                if (mode.forwards(forward)) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // One connection is broken; both are reset below.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            reset(from);
            reset(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }
}
