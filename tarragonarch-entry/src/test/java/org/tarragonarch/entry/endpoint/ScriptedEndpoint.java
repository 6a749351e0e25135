package org.tarragonarch.entry.endpoint;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.model.id.Address;

/** An endpoint on plain sockets that runs a script for each connection. */
final class ScriptedEndpoint implements Closeable {
    private final ServerSocket listener;
    private final Script script;
    private final List<String> heads = new CopyOnWriteArrayList<>();

    private ScriptedEndpoint(ServerSocket listener, Script script) {
        this.listener = listener;
        this.script = script;
    }

    static ScriptedEndpoint start(Script script) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ScriptedEndpoint endpoint = new ScriptedEndpoint(listener, script);
        Thread thread = new Thread(endpoint::accept, "scripted-endpoint");
        thread.setDaemon(true);
        thread.start();
        return endpoint;
    }

    /** Returns an address on which nothing listens. */
    static Address closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    /** Returns the heads (request line and headers) of the received requests, in order. */
    List<String> heads() {
        return heads;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            script.run(new Connection(socket, heads));
        } catch (IOException e) {
            // Many tests make the client close the connection.
            return;
        }
    }

    interface Script {
        void run(Connection connection) throws IOException;
    }

    /** A connection as seen by a script. */
    static final class Connection {
        private final Socket socket;
        private final InputStream in;
        private final List<String> heads;

        private Connection(Socket socket, List<String> heads) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.heads = heads;
        }

        /** Reads one complete request and returns its task id, if it has one. */
        Optional<String> read() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed");
                }
                head.append((char) next);
            }
            heads.add(head.toString());
            in.readNBytes(header(head, "Content-Length").map(Integer::parseInt).orElse(0));
            return header(head, "Task-Id");
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        void answer(String statusAndHeaders, String body) throws IOException {
            write("HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Waits until the client closes the connection. */
        void awaitClose() throws IOException {
            while (in.read() >= 0) {
                // Discard the input.
            }
        }

        private static Optional<String> header(CharSequence head, String name) {
            return head.toString()
                    .lines()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst();
        }
    }
}
