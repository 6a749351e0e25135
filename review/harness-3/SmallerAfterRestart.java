import java.util.ArrayList;
import java.util.List;

/**
 * A worker starts again under its id as one of a smaller kind, while the store turns away the node that gives it its
 * orders. That node goes by the room of the life before.
 */
final class SmallerAfterRestart {
    /** A room that has shrunk counts this time and one heartbeat later: 3 s on the small deployments, 4 s on others. */
    private static final long STABILITY_MILLIS = 4_000;

    private static final long HEARTBEAT_MILLIS = 1_500;

    /** How long the store turns the node away, in milliseconds: the longest time in the site files. */
    private static final long AWAY_MILLIS = 9_000;

    /** One of three nodes is turned away: a share of 0.33. */
    private static final int NODES = 3;

    /** One of seven workers is down and up again: a share of 0.14. */
    private static final int WORKERS = 7;

    private static final long DOWN_MILLIS = 1_400;
    private static final int CLIENTS = 24;
    private static final long TASK_MILLI_CORES = 6_800;
    private static final long LARGE_MILLI_CORES = 24_000;
    private static final long SMALL_MILLI_CORES = 16_000;
    private static final long WORK_MILLIS = 200;

    private SmallerAfterRestart() {}

    public static void main(String[] arguments) {
        Cluster.run(arguments, SmallerAfterRestart::run);
    }

    private static int run(Cluster cluster) throws Exception {
        List<Worker> workers = cluster.startWorkers(WORKERS, settings(LARGE_MILLI_CORES));
        String[] addresses = new String[NODES];
        for (int i = 0; i < NODES; i++) {
            addresses[i] = cluster.store().openAddressFor(i);
        }
        cluster.startNodes(node -> addresses[node]);
        cluster.awaitReady(15_000);
        Worker.pause(3_000);
        long until = System.nanoTime() + 20_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(HttpServer.daemon(() -> submitUntil(cluster, number, until), "client " + number));
        }
        Worker.pause(2_000);
        long rebornAtMillis = Long.MAX_VALUE / 2;
        if (Cluster.hasTrouble()) {
            int holder = cluster.holder();
            cluster.store().trouble((node, call) ->
                    node == holder ? Store.Treatment.refuse(503) : Store.Treatment.SERVE);
            cluster.note("the store turns node " + cluster.node(holder).name() + " away");
            Worker.pause(300);
            Worker before = workers.get(0);
            int port = before.port();
            before.crash();
            Worker.pause(DOWN_MILLIS);
            cluster.startWorker(0, port, settings(SMALL_MILLI_CORES));
            rebornAtMillis = Math.round(cluster.seconds() * 1_000);
            cluster.note("worker w1 starts again under its id, with room for " + SMALL_MILLI_CORES);
            Worker.pause(AWAY_MILLIS - 300 - DOWN_MILLIS);
            cluster.store().trouble((node, call) -> Store.Treatment.SERVE);
            cluster.note("the store serves the node again");
        }
        for (Thread client : clients) {
            client.join();
        }
        if (cluster.starts() < 100) {
            cluster.note("RESULT: not run, " + cluster.starts() + " starts");
            return Cluster.NOT_RUN;
        }
        long counted = rebornAtMillis + STABILITY_MILLIS + HEARTBEAT_MILLIS;
        List<Cluster.Start> over = cluster.allStarts().stream()
                .filter(start -> start.runs() * TASK_MILLI_CORES > start.capacityMilliCores())
                .toList();
        long late = over.stream().filter(start -> start.atMillis() > counted).count();
        cluster.note("starts over the room of their worker: " + over.size() + ", of them later than "
                + STABILITY_MILLIS + " ms and a heartbeat after the worker's start: " + late);
        cluster.note("RESULT: LIMIT " + (late > 0 ? "broken" : "held"));
        return late > 0 ? Cluster.BROKEN : Cluster.HELD;
    }

    private static Worker.Settings settings(long milliCores) {
        return new Worker.Settings("proof-board", milliCores, 1.0, WORK_MILLIS, true, System.currentTimeMillis());
    }

    private static void submitUntil(Cluster cluster, int client, long untilNanos) {
        Node node = cluster.node(client % 3);
        for (int i = 0; System.nanoTime() < untilNanos; i++) {
            String id = String.format("%08x%08x", client + 1, i);
            cluster.submit(node, id, Cluster.job(2, TASK_MILLI_CORES, WORK_MILLIS), 1_500);
            Worker.pause(100);
        }
    }
}
