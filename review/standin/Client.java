import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One keep-alive HTTP/1.1 connection of a client, with at most one call at a time. */
final class Client implements AutoCloseable {
    /** The status of a call whose connection ended without a complete answer. */
    static final int BROKEN = -1;

    /** The status of a call that got no answer before the client's deadline. */
    static final int NO_ANSWER = -2;

    /** The status of a call whose connection could not be opened. */
    static final int NO_CONNECTION = -3;

    private final Socket socket = new Socket();

    /** Connects to a node's address for clients. */
    Client(Node node, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(node.ip(), node.clientPort()), timeoutMillis);
    }

    /** Sends one call and returns the status of its answer. */
    int call(String method, String path, String body, int deadlineMillis) {
        try {
            socket.setSoTimeout(deadlineMillis);
            send(method, path, body, deadlineMillis);
            return readStatus(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            return NO_ANSWER;
        } catch (IOException e) {
            return BROKEN;
        }
    }

    /** Sends one call and does not wait for its answer. */
    void send(String method, String path, String body, int deadlineMillis) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: hobart.example\r\nContent-Type: application/json\r\n"
                + "X-Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.write(head.getBytes(StandardCharsets.US_ASCII));
        request.write(bytes);
        socket.getOutputStream().write(request.toByteArray());
    }

    private static int readStatus(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return BROKEN;
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return in.readNBytes(length).length < length ? BROKEN : Integer.parseInt(head.substring(9, 12));
    }

    /** Sends one call on a connection of its own. */
    static int callOnce(Node node, String method, String path, String body, int deadlineMillis) {
        try (Client client = new Client(node, deadlineMillis)) {
            return client.call(method, path, body, deadlineMillis);
        } catch (IOException e) {
            return NO_CONNECTION;
        }
    }

    /** Asks a node whether it is ready, as the platform does. */
    static boolean isReady(Node node) {
        try (Socket probe = new Socket()) {
            probe.connect(new InetSocketAddress(node.ip(), node.readyPort()), 500);
            probe.setSoTimeout(500);
            probe.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return readStatus(probe.getInputStream()) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
