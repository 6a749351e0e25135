package org.tarragonarch.wire;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;

/** The other end of a connection as a plain socket, which can violate the protocol. */
final class RawPeer implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    private RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    static RawPeer connect(Address address) throws IOException {
        return new RawPeer(new Socket(address.ip(), address.port()));
    }

    static RawPeer accept(ServerSocket server) throws IOException {
        server.setSoTimeout(TIMEOUT_MILLIS);
        return new RawPeer(server.accept());
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
    }

    static Address addressOf(ServerSocket server) {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /**
     * Sends frames in a single write, since the other end may close the connection at the first of them and a later
     * write would fail.
     */
    RawPeer send(Frame... frames) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        DataOutputStream frameWriter = new DataOutputStream(buffer);
        for (Frame frame : frames) {
            byte[] bytes = FrameCodec.encode(frame);
            frameWriter.writeInt(bytes.length);
            frameWriter.write(bytes);
        }
        out.write(buffer.toByteArray());
        return this;
    }

    RawPeer write(int announced, byte... bytes) throws IOException {
        out.writeInt(announced);
        out.write(bytes);
        return this;
    }

    /** Closes this end for writing, so that the other end reads the end of the stream after the last bytes. */
    RawPeer shutdownOutput() throws IOException {
        socket.shutdownOutput();
        return this;
    }

    Frame read() throws Exception {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return FrameCodec.decode("raw", Optional.of(Samples.HOBART), bytes);
    }

    /** Waits until the other end closes the connection; returns the number of hellos, and fails on any other frame. */
    int hellosBeforeClose() throws Exception {
        int hellos = 0;
        long deadline = System.nanoTime() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        Optional<Frame> next = readUnlessClosed();
        while (next.isPresent()) {
            assertTrue(next.get() instanceof Hello, "received " + next.get());
            assertTrue(System.nanoTime() < deadline, "connection not closed in time");
            hellos++;
            next = readUnlessClosed();
        }
        return hellos;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Returns the next frame; empty if the other end has closed the connection. */
    Optional<Frame> readUnlessClosed() throws Exception {
        try {
            return Optional.of(read());
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
