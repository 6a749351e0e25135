import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntFunction;
import java.util.stream.Stream;

/** A small deployment: a store, workers and three entry nodes, and the record of what happens. */
final class Cluster implements AutoCloseable, Worker.Ledger {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final String[] ZONES = {"hobart", "launceston", "devonport"};

    private final Path root;
    private final Path folder;
    private final Record record;
    private final Store store;
    private final List<Node> nodes = new CopyOnWriteArrayList<>();
    private int firstPort;
    private final Map<String, List<Long>> startsByTask = new HashMap<>();
    private final Map<String, String> runningAt = new HashMap<>();
    private final List<String> overlaps = new ArrayList<>();
    private final List<Start> allStarts = new ArrayList<>();

    /** @param caseFolder the folder of the case, which receives the record */
    Cluster(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("tarragonarch-case");
        this.record = new Record(caseFolder.resolve("record.txt"));
        this.store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        store.put("op", "config", configuration(1));
    }

    /** Runs a case and ends this process with the result; a case that cannot run has its own. */
    static void run(String[] arguments, Case body) {
        int result = NOT_RUN;
        try (Cluster cluster = new Cluster(Path.of(arguments[0]), Path.of(arguments[1]))) {
            try {
                result = body.run(cluster);
            } catch (Exception e) {
                cluster.note("RESULT: not run, " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    /**
     * A start of a task.
     *
     * @param runs the number of runs on the worker, this one included
     * @param capacityMilliCores the room of the worker at that moment
     */
    record Start(String worker, String task, long atMillis, int runs, long capacityMilliCores) {}

    /** The steps of a case. */
    interface Case {
        /** Returns {@link #BROKEN}, {@link #HELD} or {@link #NOT_RUN}. */
        int run(Cluster cluster) throws Exception;
    }

    /** Starts workers w1, w2 and so on, as many in each zone as in the others, on addresses of their own. */
    List<Worker> startWorkers(int count, Worker.Settings settings) throws IOException {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            workers.add(startWorker(i, 0, settings));
        }
        return workers;
    }

    /** Starts worker number {@code index}, from 0, at a port; 0 for any. */
    Worker startWorker(int index, int port, Worker.Settings settings) throws IOException {
        String ip = "127.0.0." + (21 + index);
        return new Worker("w" + (index + 1), ZONES[index % ZONES.length], ip, port, settings, store, this);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private static String configuration(long version) {
        Map<String, Object> route = Json.of(
                "Name", "word-count", "Host", "jobs.example", "Prefix", "/wc/", "Service", "proof-board", "Kind",
                "non_idempotent", "TimeoutMs", 4_000, "SloMs", 60, "Attempts", 3, "Priority", 1, "Stretch", 1.6);
        return Json.write(Json.of(
                "Version", version, "Routes", List.of(route), "Services",
                List.of(Json.of("Name", "proof-board", "HealthPath", "/healthz", "AdmissionCheck", false)), "Limits",
                Json.of()));
    }

    Store store() {
        return store;
    }

    List<Node> nodes() {
        return nodes;
    }

    Node node(int index) {
        return nodes.get(index);
    }

    /** Adds a node in each of the three zones and starts them. */
    void startNodes() throws IOException {
        startNodes(node -> store.address());
    }

    /** Adds the nodes, each with its own address of the store, and starts them. */
    void startNodes(IntFunction<String> storeAddress) throws IOException {
        for (int i = 0; i < ZONES.length; i++) {
            addNode("front-" + ZONES[i] + "-1", ZONES[i], "127.0.0." + (11 + i), storeAddress.apply(i));
        }
        for (Node node : nodes) {
            node.start();
            note("node " + node.name() + " is started");
        }
    }

    /** Adds a node without starting it. */
    Node addNode(String name, String zone, String ip) throws IOException {
        return addNode(name, zone, ip, store.address());
    }

    private Node addNode(String name, String zone, String ip, String storeAddress) throws IOException {
        if (firstPort == 0) {
            firstPort = freePorts();
        }
        Node node = new Node(name, zone, ip, firstPort, root, folder, storeAddress);
        nodes.add(node);
        return node;
    }

    /** Forgets a node that is gone for good. */
    void remove(Node node) {
        nodes.remove(node);
    }

    /** Returns the number of the node that holds the shards, as its log tells. */
    int holder() throws IOException {
        int holder = 0;
        int mostHeld = 0;
        for (int i = 0; i < nodes.size(); i++) {
            String log = Files.readString(nodes.get(i).log());
            int held = count(log, "shard-claimed") - count(log, "shard-resigned") - count(log, "shard-fenced");
            if (held > mostHeld) {
                holder = i;
                mostHeld = held;
            }
        }
        return holder;
    }

    private static int count(String log, String event) {
        return log.split("\"event\":\"" + event + "\"", -1).length - 1;
    }

    /** Waits until every node says that it is ready. */
    void awaitReady(long millis) throws IOException {
        long until = System.nanoTime() + millis * 1_000_000;
        for (Node node : nodes) {
            while (Client.call(node.ip(), node.readinessPort(), "GET", "/readyz", "", 500).status() != 200) {
                if (System.nanoTime() > until) {
                    throw new IOException(node.name() + " is not ready");
                }
                Worker.pause(20);
            }
        }
        note("all nodes are ready");
    }

    private static int freePorts() throws IOException {
        for (int first = 21_000 + (int) (ProcessHandle.current().pid() % 500) * 8; first < 60_000; first += 8) {
            if (areFree(first)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first) {
        for (int zone = 0; zone < ZONES.length; zone++) {
            for (int port = first; port < first + 5; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName("127.0.0." + (11 + zone)), port));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns the body of a job that is answered when it has ended. */
    static String job(int tasks, long milliCores, long estimateMillis) {
        return Json.write(Json.of(
                "Spec", "text", "BestEffort", true, "Steps",
                List.of(Json.of("Count", tasks, "Cpu", milliCores, "MemMb", 64, "EstMs", estimateMillis))));
    }

    /** Submits a job and waits for its answer. */
    Client.Answer submit(Node node, String id, String body, long deadlineMillis) {
        note("POST " + id + " to " + node.name());
        Client.Answer answer = Client.call(node.ip(), node.clientPort(), "POST", "/wc/" + id, body, deadlineMillis);
        note("POST " + id + " answered: " + answer);
        return answer;
    }

    /** Cancels a job. */
    Client.Answer cancel(Node node, String id) {
        note("DELETE " + id + " to " + node.name());
        Client.Answer answer = Client.call(node.ip(), node.clientPort(), "DELETE", "/wc/" + id, "", 4_000);
        note("DELETE " + id + " answered: " + answer);
        return answer;
    }

    /** Returns the times of the starts of a job's tasks, in milliseconds of the record. */
    synchronized List<Long> startsOf(String job) {
        List<Long> found = new ArrayList<>();
        startsByTask.forEach((task, times) -> {
            if (task.startsWith(job)) {
                found.addAll(times);
            }
        });
        return found;
    }

    /** Returns the starts of a task while another run of it went on. */
    synchronized List<String> overlaps() {
        return List.copyOf(overlaps);
    }

    synchronized int starts() {
        return allStarts.size();
    }

    /** Returns every start so far. */
    synchronized List<Start> allStarts() {
        return List.copyOf(allStarts);
    }

    double seconds() {
        return record.seconds();
    }

    @Override
    public synchronized void started(Worker worker, String task, long run, String specification, int runs) {
        allStarts.add(new Start(
                worker.id(), task, Math.round(record.seconds() * 1_000), runs, worker.capacityMilliCores()));
        startsByTask
                .computeIfAbsent(task, unused -> new ArrayList<>())
                .add(Math.round(record.seconds() * 1_000));
        note("start " + task + " run " + run + " on " + worker.id() + ", " + runs + " running there");
        String other = runningAt.put(task + "@" + worker.id(), worker.id());
        for (String at : runningAt.keySet()) {
            if (at.startsWith(task + "@") && !at.equals(task + "@" + worker.id())) {
                overlaps.add(task + " starts on " + worker.id() + " while it runs on " + runningAt.get(at));
                note("TWO RUNS: " + overlaps.get(overlaps.size() - 1));
            }
        }
    }

    @Override
    public synchronized void ended(String worker, String task, long run, String how) {
        runningAt.remove(task + "@" + worker);
        note("end " + task + " run " + run + " on " + worker + ": " + how);
    }

    @Override
    public void note(String line) {
        record.write(line);
    }

    /** Kills the nodes that still run, also when this process is told to stop. */
    private void killNodes() {
        for (Node node : nodes) {
            try {
                if (node.isAlive()) {
                    node.kill();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        killNodes();
        store.close();
        record.close();
        if (System.getenv("KEEP_LOGS") == null) {
            deleteFolder();
        } else {
            System.out.println("logs of the nodes: " + folder);
        }
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("cannot delete " + folder + ": " + e);
        }
    }
}
