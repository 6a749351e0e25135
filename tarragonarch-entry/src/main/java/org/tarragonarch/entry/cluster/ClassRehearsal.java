package org.tarragonarch.entry.cluster;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.outcome.StepException;

/**
 * Starts a node on this machine alone and ends it again, so that the build can write an archive of the classes that a
 * node loads.
 *
 * <p>A start from that archive takes about half the processor time of one without, which is what a restarted node's
 * clients wait for.
 */
public final class ClassRehearsal {
    private static final long RUN_MILLIS = 1_500;
    private static final int PORTS = 5;
    private static final String HOST = "127.0.0.1";

    private ClassRehearsal() {}

    /**
     * Runs the rehearsal.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) throws IOException, StepException, InterruptedException {
        Path file = Files.createTempFile("node", ".jsonc");
        try {
            Files.writeString(file, settings(freePorts()));
            ClusterSettings settings = ClusterSettings.read(file);
            DecisionLog log = new DecisionLog(settings.node().value(), System.err);
            log.start();
            ClusterNode node = new ClusterNode(settings, log);
            node.start();
            ask(settings.clientAddress().port());
            ask(settings.readinessAddress().port());
            Thread.sleep(RUN_MILLIS);
        } finally {
            Files.deleteIfExists(file);
        }
        System.exit(0);
    }

    private static void ask(int port) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port));
            OutputStream out = socket.getOutputStream();
            out.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            ServerSocket socket = new ServerSocket(0);
            held.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    private static String settings(List<Integer> ports) {
        return """
                { "node": "rehearsal", "failure-domain": "a", "failure-domains": {"a": "b"}, "ip": "127.0.0.1",
                  "peer-port": %d, "metrics-port": %d, "client-address": "127.0.0.1:%d",
                  "readiness-address": "127.0.0.1:%d", "store-address": "127.0.0.1:%d",
                  "processor-share": 1.0, "processor-speed": 1,
                  "lease-millis": 1000, "stop-millis": 50, "shutdown-seconds": 6 }
                """.formatted(ports.toArray());
    }
}
