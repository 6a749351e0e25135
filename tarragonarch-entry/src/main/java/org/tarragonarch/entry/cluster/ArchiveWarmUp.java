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
 * Starts two nodes on this machine, lets them serve some jobs and ends them again, so that the build can write an
 * archive of the classes that a node loads until it has answered its first job.
 *
 * <p>A start from that archive takes about half the processor time of one without, which is what a restarted node's
 * clients wait for. What the warm-up leaves out is read from the libraries at the worst moment, when a node that has
 * just been started is asked for everything at once.
 */
public final class ArchiveWarmUp {
    /** Two nodes find each other and claim the one shard within some 500 ms; the rest is for the jobs. */
    private static final long SETTLE_MILLIS = 1_000;

    private static final int JOBS = 40;
    private static final int PORTS_PER_NODE = 4;
    private static final String HOST = "127.0.0.1";
    private static final String PREFIX = "/q/";

    private ArchiveWarmUp() {}

    /**
     * Runs the warm-up.
     *
     * @param arguments none
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
            sendAndPrint((job % 2 == 0 ? first : second).clientAddress(), WarmUpPlatform.submission(HOST, PREFIX, job));
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
            ClusterMain.start(file, settings, System.err);
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
     * Returns ports that are free, each another one. All are held until the last is found: one that is given back at
     * once may be found again, and a node then cannot listen at its second address.
     */
    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            held.add(new ServerSocket(0));
        }
        List<Integer> ports = held.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket socket : held) {
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
