import java.util.List;

/**
 * A worker whose clock is 2% slow is idle for a while, gets a start, and is cut off for a moment. The start order, held
 * up by the cut, is carried out after the task has been started elsewhere.
 */
final class LateStartAfterIdle {
    /** Slower by 2%, the most that the pages allow. */
    private static final double SLOW_CLOCK = 0.98;

    /** One of six is cut off: a share of 0.17. */
    private static final int WORKERS = 6;

    private static final int TASKS_PER_WORKER = 2;
    private static final long IDLE_MILLIS = 20_000;
    private static final long CUT_MILLIS = 1_200;
    private static final long WORK_MILLIS = 400;

    private LateStartAfterIdle() {}

    public static void main(String[] arguments) {
        Cluster.run(arguments, LateStartAfterIdle::run);
    }

    private static int run(Cluster cluster) throws Exception {
        Worker.Settings settings = new Worker.Settings("proof-board", 16_000, SLOW_CLOCK, WORK_MILLIS, false, 0);
        List<Worker> workers = cluster.startWorkers(WORKERS, settings);
        cluster.startNodes();
        cluster.awaitReady(15_000);
        Worker.pause(IDLE_MILLIS);
        Worker cut = workers.get(0);
        Thread client = HttpServer.daemon(
                () -> cluster.submit(cluster.node(1), "00000000000000a1", Cluster.job(WORKERS * TASKS_PER_WORKER, 6_800, 200), 1_500),
                "client");
        if (Cluster.hasTrouble()) {
            cut.cutOff();
            Worker.pause(CUT_MILLIS);
            cut.reconnect();
        }
        client.join();
        Worker.pause(3_000);
        if (cluster.starts() < WORKERS * TASKS_PER_WORKER) {
            cluster.note("RESULT: not run, " + cluster.starts() + " starts");
            return Cluster.NOT_RUN;
        }
        boolean broken = !cluster.overlaps().isEmpty();
        cluster.note("RESULT: TWICE " + (broken ? "broken: " + cluster.overlaps() : "held"));
        return broken ? Cluster.BROKEN : Cluster.HELD;
    }
}
