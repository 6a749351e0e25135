import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Machines are replaced one after the other, as over some weeks. Then all nodes are killed at once, and serve nothing
 * for longer than they may, because each waits for the replaced ones.
 */
final class RestartAfterReplacements {
    /** The bound on the time until the system serves again after its machines are back. */
    private static final long RECOVER_MILLIS = 12_000;

    /** How long requests are sent after that time. */
    private static final long JUDGED_MILLIS = 5_000;

    private static final int REPLACED_AT_ONCE = 5;
    private static final int REPLACEMENTS = 18;

    /** The least share of the requests that must be served. */
    private static final double LEAST_SERVED = 0.25;

    private RestartAfterReplacements() {}

    public static void main(String[] arguments) {
        Cluster.run(arguments, RestartAfterReplacements::run);
    }

    private static int run(Cluster cluster) throws Exception {
        cluster.startWorkers(3, new Worker.Settings("proof-board", 16_000, 1.0, 60, false, 0));
        cluster.addNode("front-hobart-1", "hobart", "127.0.0.11").start();
        cluster.addNode("front-launceston-1", "launceston", "127.0.0.12").start();
        List<Node> replaced = startGeneration(cluster, 0);
        cluster.awaitReady(20_000);
        double before = servedShare(cluster, "before", 2_000);
        if (Cluster.hasTrouble()) {
            for (int generation = 1; generation <= REPLACEMENTS; generation++) {
                List<Node> next = startGeneration(cluster, generation);
                awaitRows(cluster, next);
                for (Node gone : replaced) {
                    gone.kill();
                    cluster.remove(gone);
                }
                cluster.note("machines " + names(next) + " have taken the place of " + names(replaced));
                replaced = next;
            }
        }
        Worker.pause(1_000);
        double beforeFault = servedShare(cluster, "before the fault", 2_000);
        for (Node node : cluster.nodes()) {
            node.kill();
        }
        cluster.note("all " + cluster.nodes().size() + " nodes are killed");
        Worker.pause(1_000);
        for (Node node : cluster.nodes()) {
            node.start();
        }
        cluster.note("all nodes are started again: the machines are back");
        double backAt = cluster.seconds();
        Worker.pause(RECOVER_MILLIS);
        double after = servedShare(cluster, "after the fault", JUDGED_MILLIS);
        cluster.note(String.format(
                "served: %.2f at first, %.2f before the fault, %.2f of the requests sent %d to %d ms after the nodes"
                        + " were started",
                before, beforeFault, after, RECOVER_MILLIS, RECOVER_MILLIS + JUDGED_MILLIS));
        cluster.awaitReady(60_000);
        cluster.note(String.format("all nodes are ready %.1f s after they were started", cluster.seconds() - backAt));
        if (beforeFault < LEAST_SERVED) {
            cluster.note("RESULT: not run, too little was served before the fault");
            return Cluster.NOT_RUN;
        }
        boolean broken = after < LEAST_SERVED;
        cluster.note("RESULT: RECOVER " + (broken ? "broken" : "held"));
        return broken ? Cluster.BROKEN : Cluster.HELD;
    }

    /** Starts machines under new names at new addresses. */
    private static List<Node> startGeneration(Cluster cluster, int generation) throws Exception {
        List<Node> started = new ArrayList<>();
        for (int i = 1; i <= REPLACED_AT_ONCE; i++) {
            int number = generation * REPLACED_AT_ONCE + i;
            Node node = cluster.addNode("front-devonport-" + number, "devonport", "127.0.1." + number);
            node.start();
            started.add(node);
        }
        return started;
    }

    private static void awaitRows(Cluster cluster, List<Node> nodes) {
        for (Node node : nodes) {
            while (cluster.store().read("nodes", node.name()).isEmpty()) {
                Worker.pause(20);
            }
        }
    }

    private static List<String> names(List<Node> nodes) {
        return nodes.stream().map(Node::name).toList();
    }

    /** Sends a small job every 50 ms, to one node after the other, and returns the share that is done. */
    private static double servedShare(Cluster cluster, String phase, long millis) throws InterruptedException {
        AtomicInteger done = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i * 50L < millis; i++) {
            Node node = cluster.node(i % cluster.nodes().size());
            String id = String.format("%08x%08x", phase.hashCode(), i);
            clients.add(HttpServer.daemon(
                    () -> {
                        if (cluster.submit(node, id, Cluster.job(1, 1_000, 60), 1_500).status() == 200) {
                            done.incrementAndGet();
                        }
                    },
                    "client"));
            Worker.pause(50);
        }
        for (Thread client : clients) {
            client.join();
        }
        return done.get() / (double) clients.size();
    }
}
