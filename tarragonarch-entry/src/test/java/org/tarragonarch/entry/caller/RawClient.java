package org.tarragonarch.entry.caller;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** An HTTP client over one plain socket that can send arbitrary text. */
final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;
    private final InputStream in;

    private RawClient(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    static RawClient connect(int port) {
        try {
            Socket socket = new Socket("127.0.0.1", port);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            return new RawClient(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String post(String path, String body, String... headers) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: test\r\n");
        head.append("Authorization: Bearer ").append(CallerFixture.TOKEN).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return head.append("Content-Length: ")
                .append(length)
                .append("\r\n\r\n")
                .append(body)
                .toString();
    }

    RawClient send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads one answer, whose length is given by its Content-Length header. */
    Answer read() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection closed after '" + head + "'");
            }
            head.append((char) next);
        }
        int length = Integer.parseInt(header(head.toString(), "content-length"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed in the middle of the body");
        }
        return new Answer(head.toString(), new String(body, StandardCharsets.UTF_8));
    }

    /** Returns whether the server closes the connection without sending more; waits up to the read timeout. */
    boolean closedByServer() {
        try {
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    record Answer(String head, String body) {
        int status() {
            return Integer.parseInt(head.substring(9, 12));
        }

        String header(String name) {
            return RawClient.header(head, name);
        }
    }
}
