package org.tarragonarch.entry.cluster;

import io.netty.channel.nio.NioEventLoopGroup;
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
import org.tarragonarch.adapter.WarmUpPlatform;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.StepException;

/**
 * Runs two nodes on this machine, has them serve some jobs and exits, so that the build can create a class data sharing
 * archive of the classes that a node loads up to its first answers.
 *
 * <p>A start with the archive takes about half the processor time of one without, and clients of a restarted node wait
 * for that start. Classes that the warm-up misses are loaded from the libraries under the first load of a new node.
 */
public final class ArchiveWarmUp {
    /** Two nodes find each other and claim the only shard within about 500 ms; the rest is a margin. */
    private static final long SETTLE_MILLIS = 1_000;

    private static final int JOBS = 40;
    private static final int PORTS_PER_NODE = 4;
    private static final String HOST = "127.0.0.1";
    private static final String PREFIX = "/q/";

    private ArchiveWarmUp() {}

    /**
     * Runs the warm-up and exits the process.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) throws IOException, StepException, InterruptedException {
        LibraryLoggers.useJdkLogging();
        List<Integer> ports = freePorts(1 + 2 * PORTS_PER_NODE);
        Address platform = new Address(HOST, ports.get(0));
        WarmUpPlatform.open(new NioEventLoopGroup(1), platform, PREFIX);
        ClusterSettings first = start("warm-up-1", platform, ports.subList(1, 1 + PORTS_PER_NODE));
        ClusterSettings second =
                start("warm-up-2", platform, ports.subList(1 + PORTS_PER_NODE, 1 + 2 * PORTS_PER_NODE));
        Thread.sleep(SETTLE_MILLIS);
        for (int job = 0; job < JOBS; job++) {
            sendAndPrint((job % 2 == 0 ? first : second).clientAddress(), WarmUpPlatform.jobRequest(HOST, PREFIX, job));
        }
        sendAndPrint(first.clientAddress(), get(PREFIX));
        sendAndPrint(first.readinessAddress(), get("/readyz"));
        System.exit(0);
    }

    private static ClusterSettings start(String name, Address platform, List<Integer> ports)
            throws IOException, StepException {
        Path file = Files.createTempFile("node", ".jsonc");
        try {
            Files.writeString(file, settings(name, platform, ports));
            ClusterSettings settings = ClusterSettings.read(file);
            ClusterMain.start(file, settings, ReloadSignal.install(), System.err);
            return settings;
        } finally {
            Files.deleteIfExists(file);
        }
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\n\r\n";
    }

    private static void sendAndPrint(Address address, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.ip(), address.port()));
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            System.err.println(answer.lines().findFirst().orElse("no answer"));
        }
    }

    /**
     * Returns distinct free ports. All sockets stay open until the last port is found, as a port that is released at
     * once may be returned a second time.
     */
    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0));
        }
        List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static String settings(String name, Address platform, List<Integer> ports) {
        return """
            { "node": "%s", "failure-domain": "a", "failure-domains": { "a": "b" }, "ip": "127.0.0.1",
              "peer-port": %d, "metrics-port": %d, "client-address": "127.0.0.1:%d",
              "readiness-address": "127.0.0.1:%d", "store-address": "%s",
              "processor-share": 1.0, "processor-speed": 1,
              "lease-millis": 1000, "stop-millis": 50, "shutdown-seconds": 6 }
            """.formatted(name, ports.get(0), ports.get(1), ports.get(2), ports.get(3), platform);
    }
}
