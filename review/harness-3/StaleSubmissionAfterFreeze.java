import java.util.ArrayList;
import java.util.List;

/**
 * The holder, which is the only node of its zone, is frozen for some seconds, while clients go on sending to it. They
 * get no answer and send their jobs again through other nodes, where they run. The node wakes, reads the submissions
 * of the clients that have left, and runs their jobs too before it notices that the clients are gone.
 */
final class StaleSubmissionAfterFreeze {
    /** The longest freeze in the site file is 4.0 s. */
    private static final long FREEZE_MILLIS = 3_600;

    /** The time between two requests of the zone's clients: 57.1 a second on day scale-1 of the site file. */
    private static final long BETWEEN_MILLIS = 17;

    /** The time after which a client without an answer sends its job again. */
    private static final long RESEND_MILLIS = 1_300;

    private static final long DEADLINE_MILLIS = 1_500;
    private static final long WORK_MILLIS = 900;
    private static final int ROUNDS = 6;
    private static final int WORKERS = 12;
    private static final String JOB = Cluster.job(1, 200, WORK_MILLIS);

    private StaleSubmissionAfterFreeze() {}

    public static void main(String[] arguments) {
        Cluster.run(arguments, StaleSubmissionAfterFreeze::run);
    }

    private static int run(Cluster cluster) throws Exception {
        cluster.startWorkers(WORKERS, new Worker.Settings("proof-board", 16_000, 1.0, WORK_MILLIS, false, 0));
        cluster.startNodes();
        cluster.awaitReady(15_000);
        Worker.pause(3_000);
        for (int round = 0; round < ROUNDS && cluster.overlaps().isEmpty(); round++) {
            freezeOnce(cluster, round);
        }
        if (cluster.starts() < 50) {
            cluster.note("RESULT: not run, " + cluster.starts() + " starts");
            return Cluster.NOT_RUN;
        }
        boolean broken = !cluster.overlaps().isEmpty();
        cluster.note("RESULT: TWICE " + (broken ? "broken: " + cluster.overlaps() : "held"));
        return broken ? Cluster.BROKEN : Cluster.HELD;
    }

    /** Sends the requests of the time for which the holder is frozen. */
    private static void freezeOnce(Cluster cluster, int round) throws Exception {
        int holder = cluster.holder();
        Node frozen = cluster.node(holder);
        if (Cluster.hasTrouble()) {
            cluster.note("node " + frozen.name() + " is frozen");
            frozen.signal("STOP");
        }
        long startNanos = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i * BETWEEN_MILLIS < FREEZE_MILLIS; i++) {
            Worker.pause(Math.max(0, i * BETWEEN_MILLIS - (System.nanoTime() - startNanos) / 1_000_000));
            String id = String.format("%08x%08x", round + 1, i);
            Node other = cluster.node((holder + 1 + i % 2) % 3);
            clients.add(HttpServer.daemon(() -> submit(cluster, frozen, other, id), "client"));
        }
        if (Cluster.hasTrouble()) {
            Worker.pause(Math.max(0, FREEZE_MILLIS - (System.nanoTime() - startNanos) / 1_000_000));
            frozen.signal("CONT");
            cluster.note("node " + frozen.name() + " wakes");
        }
        for (Thread client : clients) {
            client.join();
        }
        Worker.pause(6_000);
    }

    /** Submits a job, and once more through another node if there is no answer, or 504. */
    private static void submit(Cluster cluster, Node first, Node second, String id) {
        int status = cluster.submit(first, id, JOB, DEADLINE_MILLIS).status();
        if (status == 0 || status == 504) {
            Worker.pause(RESEND_MILLIS);
            cluster.submit(second, id, JOB, DEADLINE_MILLIS);
        }
    }
}
