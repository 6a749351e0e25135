import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry node: a process started with the command of the deploy file, which can be killed and started again. */
final class Node {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String SETTINGS_PATH = "/etc/tarragonarch/local.toml";

    private final String name;
    private final String ip;
    private final Path root;
    private final Path settings;
    private final Path log;
    private final int firstPort;
    private Process process;

    /** @param firstPort the first of five free ports on the node's address */
    Node(String name, String zone, String ip, int firstPort, Path root, Path folder, String storeAddress)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.root = root;
        this.firstPort = firstPort;
        this.settings = folder.resolve(name + ".jsonc");
        this.log = folder.resolve(name + ".log");
        Map<String, Object> values = Json.of(
                "node", name,
                "failure-domain", zone,
                "failure-domains", Json.of("hobart", "lutruwita", "launceston", "lutruwita", "devonport", "lutruwita"),
                "ip", ip,
                "processor-share", 0.75,
                "processor-speed", 1,
                "peer-port", firstPort,
                "metrics-port", firstPort + 1,
                "client-address", ip + ":" + (firstPort + 2),
                "readiness-address", ip + ":" + (firstPort + 3),
                "store-address", storeAddress,
                "lease-millis", 1_000,
                "stop-millis", 50,
                "configuration-millis", 2_000,
                "cancelled-seconds", 120,
                "shutdown-seconds", 6);
        Files.writeString(settings, Json.write(values));
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    int clientPort() {
        return firstPort + 2;
    }

    int readinessPort() {
        return firstPort + 3;
    }

    Path log() {
        return log;
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" +")) {
            command.add(word.replace(SETTINGS_PATH, settings.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Kills the process, and waits until it is gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Sends a signal: STOP, CONT, TERM or HUP. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }
}
