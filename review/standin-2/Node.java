import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One node of the system: a process with the command of the deploy file and settings of a small deployment. */
final class Node {
    private static final String SETTINGS_PATH = "/etc/tarragonarch/local.toml";

    private final String name;
    private final Path folder;
    private final Record record;
    private final Path settings;
    private final String front;
    private final String ready;
    private Process process;

    Node(String name, String zone, String ip, double cpuShare, Store.Gate store, Path folder, Record record)
            throws IOException {
        this.name = name;
        this.folder = folder;
        this.record = record;
        this.front = ip + ":" + freePort(ip);
        this.ready = ip + ":" + freePort(ip);
        this.settings = folder.resolve(name + ".jsonc");
        Files.writeString(
                settings,
                "{\"node\":\"" + name + "\",\"failure-domain\":\"" + zone + "\",\"failure-domains\":{\"espoo-a\":\"fi-south\","
                        + "\"vantaa-b\":\"fi-south\",\"helsinki-c\":\"fi-south\"},\"ip\":\"" + ip + "\",\"processor-share\":"
                        + cpuShare + ",\"processor-speed\":1,\"peer-port\":" + freePort(ip) + ",\"metrics-port\":"
                        + freePort(ip) + ",\"client-address\":\"" + front + "\",\"readiness-address\":\"" + ready
                        + "\",\"store-address\":\"" + store.address() + "\",\"lease-millis\":1000,\"stop-millis\":50,"
                        + "\"configuration-millis\":2000,\"cancelled-seconds\":120,\"shutdown-seconds\":6}");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    String front() {
        return front;
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String word : runLine().split(" ")) {
            command.add(word.equals(SETTINGS_PATH) ? settings.toString() : word);
        }
        File log = folder.resolve(name + ".log").toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        record.write("script", name + " started, process " + process.pid());
    }

    private static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    /** Kills the process (SIGKILL). */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    boolean isReady() {
        return Http.call(ready, "GET", "/readyz", "Host: " + ready + "\r\n", "", 500).status() == 200;
    }

    /** Returns the log written so far. */
    String log() throws IOException {
        Path log = folder.resolve(name + ".log");
        return Files.exists(log) ? Files.readString(log) : "";
    }
}
