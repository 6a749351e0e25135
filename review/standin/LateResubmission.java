import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A job is cancelled and the cancel is acknowledged; seconds after the 2xx answers its submission arrives once more, at
 * another machine.
 *
 * <p>Arguments: the folder for the record and the folder for settings and logs. Exits with 1 if a task of a cancelled
 * job started later than {@code cancel_ms} after the acknowledgement, with 0 if not, with 2 if the machines do not come
 * up or no cancel of a running job was acknowledged.
 */
final class LateResubmission {
    private static final String[] ZONES = {"hobart", "launceston", "devonport"};
    private static final int MACHINES = 7;
    private static final int JOBS = 12;
    private static final int TASKS = 2;
    private static final int TASK_MILLIS = 1_000;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final long BROKEN_AFTER_MILLIS = 100;
    private static final long RESEND_MILLIS = 1_300;
    private static final long CANCEL_AFTER_MILLIS = 300;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long LATE_MILLIS = 3_500;
    private static final long READY_WITHIN_MILLIS = 20_000;

    private final List<Node> nodes;
    private final ExecutorService pool = Executors.newCachedThreadPool(Threads.daemon());
    private final List<String> lines = new ArrayList<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final boolean trouble;
    private final long start = Worker.now();

    private LateResubmission(List<Node> nodes, boolean trouble) {
        this.nodes = nodes;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(arguments[1]);
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true)) {
            record.println("disruption: " + (trouble
                    ? "each submission arrives again at another machine, 3.5 s after its cancel was acknowledged" : "none"));
            Store store = new Store("127.0.3.1");
            store.put("op", "config", Scene.CONFIGURATION);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                workers.add(new Worker("w" + i, "127.0.2." + (1 + i), ZONES[i % 3], store));
            }
            List<Node> nodes = Scene.nodes(MACHINES, store, folder);
            for (Node node : nodes) {
                node.start();
            }
            if (!Scene.awaitReady(nodes, READY_WITHIN_MILLIS)) {
                record.println("not every machine became ready");
                System.exit(2);
            }
            Thread.sleep(4_000);
            System.exit(new LateResubmission(nodes, trouble).run(workers, record));
        }
    }

    private int run(List<Worker> workers, PrintWriter record) throws Exception {
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            clients.add(pool.submit(() -> client(number)));
            Thread.sleep(400);
        }
        for (Future<?> client : clients) {
            client.get();
        }
        Thread.sleep(2_000);
        lines.forEach(record::println);
        int broken = 0;
        for (Worker worker : workers) {
            for (Worker.Run run : worker.ledger()) {
                String job = run.task().substring(0, run.task().indexOf('.'));
                Long cancelled = cancelledAt.get(job);
                boolean late = cancelled != null && run.startedAt() > cancelled + CANCEL_MILLIS;
                broken += late ? 1 : 0;
                record.println("run of " + run.task() + " number " + run.run() + " on " + run.worker() + " from "
                        + (run.startedAt() - start) + " ms to " + (run.endedAt() == 0 ? "the end" : run.endedAt() - start + " ms")
                        + ", " + run.how() + (late ? "  UNASKED: started " + (run.startedAt() - cancelled)
                                + " ms after the cancel was acknowledged" : ""));
            }
        }
        record.println("cancels acknowledged: " + cancelledAt.size() + " of " + JOBS + "; starts more than "
                + CANCEL_MILLIS + " ms after: " + broken);
        record.println(cancelledAt.isEmpty() ? "could not run" : broken > 0 ? "BROKEN" : "held");
        return cancelledAt.isEmpty() ? 2 : broken > 0 ? 1 : 0;
    }

    /** The life of one job; a client resends it after a broken connection, at the next machine. */
    private void client(int number) {
        String path = "/board/" + String.format("%016x", 0x7d21940000000000L + number);
        String id = path.substring("/board/".length());
        try {
            breakFirstAttempt(path, node(number));
            write(id + " sent to " + node(number).name() + ", the connection broke after " + BROKEN_AFTER_MILLIS + " ms");
            Thread.sleep(RESEND_MILLIS);
            Future<Integer> second = pool.submit(() -> post(path, node(number + 1)));
            write(id + " sent again to " + node(number + 1).name());
            Thread.sleep(CANCEL_AFTER_MILLIS);
            int status = Client.callOnce(node(number + 2), "DELETE", path, "", DEADLINE_MILLIS);
            long acknowledged = Worker.now();
            write(id + " DELETE to " + node(number + 2).name() + ": status " + status);
            write(id + " the submission at " + node(number + 1).name() + " is answered with status " + second.get());
            if (status / 100 == 2) {
                synchronized (cancelledAt) {
                    cancelledAt.put(id, acknowledged);
                }
            }
            if (trouble) {
                Thread.sleep(LATE_MILLIS - (Worker.now() - acknowledged));
                write(id + " the submission arrives once more, at " + node(number + 3).name());
                write(id + " it is answered with status " + post(path, node(number + 3)));
            }
        } catch (Exception e) {
            write(id + " " + e);
        }
    }

    private static void breakFirstAttempt(String path, Node node) throws IOException, InterruptedException {
        try (Client client = new Client(node, 500)) {
            Thread call = Threads.daemon().newThread(() -> client.call("POST", path, Scene.job(TASKS, TASK_MILLIS), DEADLINE_MILLIS));
            call.start();
            Thread.sleep(BROKEN_AFTER_MILLIS);
        }
    }

    private static int post(String path, Node node) {
        return Client.callOnce(node, "POST", path, Scene.job(TASKS, TASK_MILLIS), DEADLINE_MILLIS);
    }

    private Node node(int number) {
        return nodes.get(number % nodes.size());
    }

    private synchronized void write(String line) {
        lines.add((Worker.now() - start) + " ms: " + line);
    }
}
