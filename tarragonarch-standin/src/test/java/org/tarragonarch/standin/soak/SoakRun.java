package org.tarragonarch.standin.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.adapter.standin.StandInEndpoint;

/** One soak: starts a cluster and clients, injects the faults of a plan, and checks the guarantees. */
final class SoakRun {
    /** The time in which every client must be served again after the last fault; long enough for a busy machine. */
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(40);

    private static final long POLL_MILLIS = 50;

    private final SoakOptions options;
    private final long seed;
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    SoakRun(SoakOptions options, long seed) {
        this.options = options;
        this.seed = seed;
    }

    /** Runs the soak and deletes the folder with the logs unless there are violations. */
    SoakResult run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("tarragonarch-soak-" + seed + "-");
        SoakResult result = runIn(folder);
        if (result.violations().isEmpty()) {
            MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        }
        return result;
    }

    private SoakResult runIn(Path folder) throws IOException, InterruptedException {
        try (SoakCluster cluster = new SoakCluster(folder, options.nodes(), options.endpoints())) {
            awaitNodesListening(cluster);
            startClients(cluster);
            QueueWatcher watcher = new QueueWatcher(cluster);
            start(watcher, "queue-watcher");
            List<String> violations = new ArrayList<>();
            awaitServed(violations, "at the start");
            injectFaults(cluster, SoakPlan.draw(seed, options.faults(), options.faultPeriodMillis(), options.nodes()));
            cluster.clearFaults();
            awaitNodesListening(cluster);
            awaitServed(violations, "after the last fault");
            watcher.awaitNewestQueueDue();
            watcher.stop();
            stopClients();
            violations.addAll(watcher.violations());
            if (watcher.answers() == 0) {
                violations.add("no node answered a request for a queue");
            }
            List<SentJob> jobs =
                    clients.stream().flatMap(client -> client.jobs().stream()).toList();
            violations.addAll(SoakChecks.violations(
                    cluster.endpoints().stream().map(StandInEndpoint::runs).toList(), jobs));
            return SoakResult.of(seed, folder, jobs, ImmutableList.copyOf(violations));
        }
    }

    /** Waits until every node accepts connections; restarts a node whose process has ended. */
    private void awaitNodesListening(SoakCluster cluster) throws IOException, InterruptedException {
        long until = System.nanoTime() + RECOVERY_TIMEOUT.toNanos();
        for (int node = 0; node < cluster.nodeCount(); node++) {
            while (!cluster.node(node).isAlive() || !isListening(cluster.clientAddress(node))) {
                if (System.nanoTime() > until) {
                    throw new IOException("node " + node + " accepts no connections: " + cluster.log(node));
                }
                cluster.startNode(node);
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    private static boolean isListening(String address) {
        int colon = address.indexOf(':');
        InetSocketAddress at =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        try (Socket socket = new Socket()) {
            socket.connect(at);
            return true;
        } catch (IOException e) {
            // Nothing listens yet; the caller tries again.
            return false;
        }
    }

    private void startClients(SoakCluster cluster) {
        for (int i = 0; i < options.clients(); i++) {
            SoakClient client = new SoakClient(cluster, i, seed);
            clients.add(client);
            start(client, "client-" + i);
        }
    }

    private void start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Waits until every client has a job done after this call; adds a violation if that takes too long. */
    private void awaitServed(List<String> violations, String when) throws InterruptedException {
        long from = StandInEndpoint.clockMillis();
        for (SoakClient client : clients) {
            while (!servedSince(client, from)) {
                if (StandInEndpoint.clockMillis() - from > RECOVERY_TIMEOUT.toMillis()) {
                    violations.add("a client was not served " + when);
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    private static boolean servedSince(SoakClient client, long sinceMillis) {
        return client.jobs().stream().anyMatch(job -> job.isDone() && job.answeredAtMillis() >= sinceMillis);
    }

    private void injectFaults(SoakCluster cluster, SoakPlan plan) throws IOException, InterruptedException {
        long startMillis = StandInEndpoint.clockMillis();
        for (SoakPlan.Step step : plan.steps()) {
            long wait = startMillis + step.atMillis() - StandInEndpoint.clockMillis();
            if (wait > 0) {
                TimeUnit.MILLISECONDS.sleep(wait);
            }
            step.execute(cluster);
        }
    }

    private void stopClients() throws InterruptedException {
        clients.forEach(SoakClient::stop);
        for (Thread thread : threads) {
            thread.join(RECOVERY_TIMEOUT.toMillis());
        }
    }
}
