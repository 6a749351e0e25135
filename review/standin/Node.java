import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One machine of the system: its settings, and its process, started with the command of the deploy file. */
final class Node {
    /** Settings as the template of the deploy file gives them on a machine of Derwent Pages (a front of 0.75 cores). */
    private static final String SETTINGS = """
            {
              "node": "%s",
              "failure-domain": "%s",
              "failure-domains": { "hobart": "lutruwita", "launceston": "lutruwita", "devonport": "lutruwita" },
              "ip": "%s",
              "processor-share": 0.75,
              "processor-speed": 1,
              "peer-port": %d,
              "metrics-port": %d,
              "client-address": "%s:%d",
              "readiness-address": "%s:%d",
              "store-address": "%s",
              "lease-millis": 1000,
              "stop-millis": 50,
              "configuration-millis": 2000,
              "shutdown-seconds": 6
            }
            """;

    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final String name;
    private final String zone;
    private final String ip;
    private final int port;
    private final Path folder;
    private final Path settings;
    private Process process;

    /**
     * Creates a machine without a process.
     *
     * @param port the first of the four ports that it uses, the same on all machines
     */
    Node(String name, String zone, String ip, int port, Store store, Path folder) throws IOException {
        this.name = name;
        this.zone = zone;
        this.ip = ip;
        this.port = port;
        this.folder = folder;
        this.settings = folder.resolve(name + ".jsonc");
        Files.writeString(settings, SETTINGS.formatted(
                name, zone, ip, port, port + 1, ip, port + 2, ip, port + 3, store.address()));
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    String ip() {
        return ip;
    }

    int clientPort() {
        return port + 2;
    }

    int readyPort() {
        return port + 3;
    }

    /** Starts the process in the repository's root, which is the folder of this program. */
    synchronized void start() throws IOException {
        List<String> command = new ArrayList<>(deployCommand());
        command.set(command.size() - 1, settings.toString());
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
                .start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Sends a signal by name, such as TERM or HUP. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Reads the command from the deploy file, so that the script runs what the deploy file runs. */
    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring("run = ".length()).replace("\"", "").trim().split(" +"));
            }
        }
        throw new IOException("deploy/system.toml has no line 'run = '");
    }
}
