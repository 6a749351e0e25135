import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store performs one write late, as it may. The write is of an earlier list of cancelled jobs, and replaces a later
 * list that was acknowledged. After all nodes were killed, a cancelled job runs.
 */
final class CancellationOverwritten {
    /** A write without an answer is performed 1 to 6 s later. */
    private static final long LATE_MILLIS = 5_000;

    /** The bound on a start after the acknowledgement of the cancellation. */
    private static final long CANCEL_MILLIS = 3_000;

    /** How long a node must have run without a disruption before a rule with a time bound holds for it. */
    private static final long STABILITY_MILLIS = 3_000;

    private static final String FIRST = "00000000000000b1";
    private static final String SECOND = "00000000000000b2";

    private CancellationOverwritten() {}

    public static void main(String[] arguments) {
        Cluster.run(arguments, CancellationOverwritten::run);
    }

    private static int run(Cluster cluster) throws Exception {
        cluster.startWorkers(3, new Worker.Settings("proof-board", 16_000, 1.0, 1_200, false, 0));
        cluster.startNodes();
        cluster.awaitReady(15_000);
        Worker.pause(4_000);
        if (Cluster.hasTrouble()) {
            performNextListLate(cluster);
        }
        submitAndCancel(cluster, FIRST);
        Worker.pause(2_000);
        long acknowledged = submitAndCancel(cluster, SECOND);
        Worker.pause(LATE_MILLIS);
        cluster.note("stored list of node 2: "
                + cluster.store().read("cancellations", cluster.node(1).name()).replace('\n', ','));
        if (Cluster.hasTrouble() || "only".equals(System.getenv("KILL"))) {
            for (Node node : cluster.nodes()) {
                node.kill();
                cluster.note("node " + node.name() + " is killed");
            }
            Worker.pause(1_000);
            for (Node node : cluster.nodes()) {
                node.start();
                cluster.note("node " + node.name() + " is started");
            }
            cluster.awaitReady(15_000);
            Worker.pause(STABILITY_MILLIS + 500);
        }
        cluster.note("the submission of " + SECOND + " arrives once more");
        cluster.submit(cluster.node(2), SECOND, Cluster.job(1, 6_800, 1_000), 1_500);
        List<Long> late = cluster.startsOf(SECOND).stream()
                .filter(at -> at > acknowledged + CANCEL_MILLIS)
                .toList();
        if (cluster.startsOf(SECOND).isEmpty()) {
            cluster.note("RESULT: not run, the job never started");
            return Cluster.NOT_RUN;
        }
        cluster.note("RESULT: UNASKED " + (late.isEmpty() ? "held" : "broken: starts at " + late + " ms"));
        return late.isEmpty() ? Cluster.HELD : Cluster.BROKEN;
    }

    /** Lets the store perform the next write of a list of cancellations late, without an answer. */
    private static void performNextListLate(Cluster cluster) {
        AtomicBoolean done = new AtomicBoolean();
        cluster.store().trouble((node, call) -> {
            boolean isList = call.path().equals("/rows-tx") && call.body().contains("cancellations");
            if (isList && done.compareAndSet(false, true)) {
                cluster.note("the store loses the answer of a write, and performs it " + LATE_MILLIS + " ms later");
                return Store.Treatment.late(LATE_MILLIS);
            }
            return Store.Treatment.SERVE;
        });
    }

    /** Submits a job at node 1 and cancels it at node 2; returns when the cancellation was acknowledged. */
    private static long submitAndCancel(Cluster cluster, String job) throws InterruptedException {
        Thread client = HttpServer.daemon(
                () -> cluster.submit(cluster.node(0), job, Cluster.job(1, 6_800, 1_000), 1_500), "client");
        Worker.pause(200);
        cluster.cancel(cluster.node(1), job);
        long acknowledged = Math.round(cluster.seconds() * 1_000);
        client.join();
        return acknowledged;
    }
}
