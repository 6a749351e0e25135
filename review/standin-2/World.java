import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a store, workers, nodes, and the means to call the nodes as clients do. */
final class World implements AutoCloseable {
    static final String HOST = "novo13.example";
    static final String PREFIX = "/gono990/";
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long TIME_LIMIT_MILLIS = 110_000;

    final Record record;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final List<Node> removed = new ArrayList<>();
    final List<Store.Gate> gates = new ArrayList<>();
    private final Path folder;

    World(Path caseFolder) throws IOException {
        this.record = new Record(caseFolder.resolve("record.txt"));
        this.store = new Store(record);
        this.folder = Files.createTempDirectory("tarragonarch-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Http.daemon(this::endAfterTimeLimit);
        store.put(
                "op",
                "config",
                "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"" + HOST + "\",\"Prefix\":\"" + PREFIX
                        + "\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"SloMs\":60,\"Priority\":0,\"Service\":"
                        + "\"registry-gw\",\"Attempts\":2,\"Stretch\":1.6}],\"Services\":[{\"Name\":\"registry-gw\"}],"
                        + "\"Limits\":{}}");
    }

    void addWorker(String zone, long milliCores) throws IOException {
        workers.add(new Worker("i-" + (workers.size() + 1) + "a" + System.nanoTime() % 1_000, zone, milliCores, store, record));
    }

    void addNode(String zone, double cpuShare) throws IOException {
        int number = nodes.size() + 1;
        addNode("front-" + zone + "-" + number, zone, "127.0.0." + (number + 10), cpuShare);
    }

    void addNode(String name, String zone, String ip, double cpuShare) throws IOException {
        Store.Gate gate = store.new Gate();
        gates.add(gate);
        nodes.add(new Node(name, zone, ip, cpuShare, gate, folder, record));
    }

    /** Starts a machine that is removed for good as soon as the store has its row. */
    Node startForRemoval(String name, String zone, String ip, double cpuShare) throws IOException {
        Node node = new Node(name, zone, ip, cpuShare, store.new Gate(), folder, record);
        node.start();
        removed.add(node);
        return node;
    }

    void startAll() throws IOException {
        for (Node node : nodes) {
            node.start();
        }
    }

    /** Waits until all nodes are ready; ends the script with 2 if they are not within 20 s. */
    void awaitReady() throws InterruptedException {
        long until = record.millis() + 20_000;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (record.millis() > until) {
                    record.write("script", node.name() + " is not ready: the case could not run");
                    end(COULD_NOT_RUN, "the case could not run");
                }
                Thread.sleep(50);
            }
        }
        record.write("script", "all nodes are ready");
    }

    /** Submits a job of this many tasks, each of this work and processor time, and returns the answer. */
    Http.Answer post(Node node, String job, int count, long workMillis, long milliCores, int deadlineMillis) {
        String body = "{\"Spec\":\"" + workMillis + " " + milliCores + "\",\"Steps\":[{\"Count\":" + count + ",\"Cpu\":"
                + milliCores + ",\"MemMb\":64,\"EstMs\":" + workMillis + "}],\"BestEffort\":true}";
        return client(node, "POST", job, "X-Deadline-Ms: " + deadlineMillis + "\r\n", body, deadlineMillis + 200);
    }

    Http.Answer delete(Node node, String job) {
        return client(node, "DELETE", job, "X-Deadline-Ms: 1500\r\n", "", 1_700);
    }

    private Http.Answer client(Node node, String method, String job, String headers, String body, int timeoutMillis) {
        record.write("client", method + " " + job + " to " + node.name());
        Http.Answer answer = Http.call(
                node.front(),
                method,
                PREFIX + job,
                "Host: " + HOST + "\r\nContent-Type: application/json\r\n" + headers,
                body,
                timeoutMillis);
        record.write("client", method + " " + job + " answered " + (answer.status() == 0 ? "by nobody" : answer.status()) + " "
                + answer.body());
        return answer;
    }

    List<Worker.Start> starts() {
        List<Worker.Start> all = new ArrayList<>();
        workers.forEach(worker -> all.addAll(worker.starts()));
        return all;
    }

    /** Starts of tasks of a job. */
    List<Worker.Start> startsOf(String job) {
        return starts().stream().filter(start -> start.task().startsWith(job + ".")).toList();
    }

    void killAll() {
        nodes.forEach(Node::kill);
        record.write("script", "all nodes lose power (SIGKILL)");
    }

    /** Ends the script with this result. */
    void end(int status, String verdict) {
        record.write("verdict", verdict);
        System.out.println(verdict);
        System.exit(status);
    }

    private void endAfterTimeLimit() {
        Store.sleep(TIME_LIMIT_MILLIS);
        end(COULD_NOT_RUN, "the case did not end in time");
    }

    /** Ends all processes and removes the temporary folder. */
    @Override
    public void close() {
        nodes.forEach(Node::kill);
        removed.forEach(Node::kill);
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        folder.toFile().delete();
    }

    /** A case; it ends the script itself. */
    interface Script {
        void run() throws Exception;
    }

    /** Runs a case; an error means that it could not run. */
    static void run(Script script) {
        try {
            script.run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(COULD_NOT_RUN);
    }
}
