import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Clients cancel jobs over open connections while a machine is stopped as planned, after another machine was removed.
 *
 * <p>Arguments: the folder for the record and the folder for settings and logs. Exits with 1 if a call that was read got
 * no answer although its connection ended later than {@code LossSlackMs} after it was sent, with 0 if not, with 2 if the
 * machines do not come up or no call was sent in time.
 */
final class CancelAtShutdown {
    private static final String[] ZONES = {"hobart", "launceston", "devonport"};
    private static final int MACHINES = 7;
    private static final long LOSS_SLACK_MILLIS = 200;
    private static final long STABILITY_MILLIS = 3_000;
    private static final long READY_WITHIN_MILLIS = 20_000;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int CLIENTS = 160;
    private static final long FIRST_CALL_MILLIS = 200;
    private static final long BETWEEN_CALLS_MILLIS = 20;

    private record Cancel(long sentMillis, int status, long tookMillis) {
        boolean isLost() {
            return status == Client.BROKEN && tookMillis > LOSS_SLACK_MILLIS;
        }
    }

    private long endedMillis;

    private CancelAtShutdown() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(arguments[1]);
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true)) {
            Store store = new Store("127.0.3.1");
            store.put("op", "config", Scene.CONFIGURATION);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
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
            Node removed = nodes.get(MACHINES - 1);
            if (trouble) {
                removed.signal("TERM");
                removed.awaitEnd(8_000);
                record.println("disruption: " + removed.name() + " was removed for good by SIGTERM, exit code " + removed.exitCode());
            } else {
                record.println("disruption: none, " + removed.name() + " stays");
            }
            Thread.sleep(STABILITY_MILLIS + 1_000);
            Node leaving = nodes.get(1);
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Client(leaving, 500));
            }
            submitAndLeave(leaving, record);
            Thread.sleep(1_000);
            CancelAtShutdown scene = new CancelAtShutdown();
            List<Cancel> cancels = scene.cancelWhileLeaving(leaving, clients);
            long lost = 0;
            for (Cancel cancel : cancels) {
                record.println("DELETE sent " + cancel.sentMillis() + " ms after the SIGTERM: "
                        + (cancel.status() > 0 ? "status " + cancel.status() : cancel.status() == Client.BROKEN
                                ? "connection ended without an answer" : "no answer") + " after " + cancel.tookMillis() + " ms"
                        + (cancel.isLost() ? "  LOST" : ""));
                lost += cancel.isLost() ? 1 : 0;
            }
            // Calls that a node may still be working on when it ends, and that count if they get no answer.
            long timely = cancels.stream()
                    .filter(cancel -> cancel.sentMillis() > scene.endedMillis - 380
                            && cancel.sentMillis() < scene.endedMillis - LOSS_SLACK_MILLIS)
                    .count();
            record.println("the process ended " + scene.endedMillis + " ms after the SIGTERM");
            record.println("cancels: " + cancels.size() + ", sent 380 to 200 ms before the end: " + timely + ", lost: " + lost);
            record.println(timely == 0 ? "could not run" : lost > 0 ? "BROKEN" : "held");
            System.exit(timely == 0 ? 2 : lost > 0 ? 1 : 0);
        }
    }

    /**
     * Submits one job for each client, to be stored; the client leaves before the answer, so that it does not know
     * whether its job was accepted.
     */
    private static void submitAndLeave(Node node, PrintWriter record) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(10, Threads.daemon());
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String path = "/board/" + id(i);
            pool.execute(() -> {
                try (Client client = new Client(node, 500)) {
                    client.send("POST", path, Scene.storedJob(1, 30), DEADLINE_MILLIS);
                } catch (IOException e) {
                    // The client leaves in any case.
                }
                done.countDown();
            });
        }
        done.await();
        record.println("jobs submitted by clients that left before the answer: " + CLIENTS);
    }

    /** Sends SIGTERM to the machine, and a cancel by each client, one every few milliseconds, until the process ends. */
    private List<Cancel> cancelWhileLeaving(Node leaving, List<Client> clients) throws Exception {
        ScheduledThreadPoolExecutor pool = new ScheduledThreadPoolExecutor(CLIENTS, Threads.daemon());
        pool.prestartAllCoreThreads();
        List<Cancel> cancels = new ArrayList<>();
        leaving.signal("TERM");
        long start = Worker.now();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = clients.get(i);
            String path = "/board/" + id(i);
            pool.schedule(() -> {
                long sent = Worker.now();
                if (!leaving.isAlive()) {
                    return;
                }
                int status = client.call("DELETE", path, "", DEADLINE_MILLIS);
                synchronized (cancels) {
                    cancels.add(new Cancel(sent - start, status, Worker.now() - sent));
                }
            }, FIRST_CALL_MILLIS + i * BETWEEN_CALLS_MILLIS, TimeUnit.MILLISECONDS);
        }
        leaving.awaitEnd(8_000);
        endedMillis = Worker.now() - start;
        Thread.sleep(DEADLINE_MILLIS + 200);
        pool.shutdownNow();
        for (Client client : clients) {
            client.close();
        }
        synchronized (cancels) {
            List<Cancel> sorted = new ArrayList<>(cancels);
            sorted.sort((first, second) -> Long.compare(first.sentMillis(), second.sentMillis()));
            return sorted;
        }
    }

    private static String id(int number) {
        return String.format("%016x", 0x5c0e7a2100000000L + number);
    }
}
