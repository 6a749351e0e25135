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

/** One soak: a system is started, its clients send, faults come by the plan, and the promises are checked. */
final class SoakRun {
    /** How long the system may take to serve every client again after the last fault; a busy machine starts slowly. */
    private static final Duration PATIENCE = Duration.ofSeconds(40);

    private static final long LOOK_MILLIS = 50;

    private final SoakOptions options;
    private final long seed;
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    SoakRun(SoakOptions options, long seed) {
        this.options = options;
        this.seed = seed;
    }

    /** Plays the seed; the folder with the logs is kept if a promise was broken. */
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
            List<String> broken = new ArrayList<>();
            awaitServed(broken, "at the start");
            carryOut(cluster, SoakPlan.draw(seed, options.faults(), options.faultPeriodMillis(), options.nodes()));
            cluster.clearFaults();
            awaitNodesListening(cluster);
            awaitServed(broken, "after the last fault");
            watcher.awaitNewestQueueDue();
            watcher.stop();
            endClients();
            broken.addAll(watcher.violations());
            if (watcher.answers() == 0) {
                broken.add("no node said anything of its queues");
            }
            List<SentJob> jobs =
                    clients.stream().flatMap(client -> client.jobs().stream()).toList();
            broken.addAll(SoakChecks.violations(
                    cluster.endpoints().stream().map(StandInEndpoint::runs).toList(), jobs));
            return SoakResult.of(seed, folder, jobs, ImmutableList.copyOf(broken));
        }
    }

    /** Waits until every node takes connections; one that was still on its way out is started again. */
    private void awaitNodesListening(SoakCluster cluster) throws IOException, InterruptedException {
        long until = System.nanoTime() + PATIENCE.toNanos();
        for (int node = 0; node < cluster.nodeCount(); node++) {
            while (!cluster.node(node).isAlive() || !isListening(cluster.clientAddress(node))) {
                if (System.nanoTime() > until) {
                    throw new IOException("node " + node + " takes no connection: " + cluster.log(node));
                }
                cluster.startNode(node);
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
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
            // Nobody listens yet; the caller asks again.
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

    private void start(Runnable part, String name) {
        Thread thread = new Thread(part, name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Every client has to have another job done from now on. */
    private void awaitServed(List<String> broken, String when) throws InterruptedException {
        long from = StandInEndpoint.clockMillis();
        for (SoakClient client : clients) {
            while (!servedSince(client, from)) {
                if (StandInEndpoint.clockMillis() - from > PATIENCE.toMillis()) {
                    broken.add("a client is not served " + when);
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            }
        }
    }

    private static boolean servedSince(SoakClient client, long sinceMillis) {
        return client.jobs().stream().anyMatch(job -> job.isDone() && job.answeredAtMillis() >= sinceMillis);
    }

    private void carryOut(SoakCluster cluster, SoakPlan plan) throws IOException, InterruptedException {
        long began = StandInEndpoint.clockMillis();
        for (SoakPlan.Step step : plan.steps()) {
            long wait = began + step.atMillis() - StandInEndpoint.clockMillis();
            if (wait > 0) {
                TimeUnit.MILLISECONDS.sleep(wait);
            }
            step.execute(cluster);
        }
    }

    private void endClients() throws InterruptedException {
        clients.forEach(SoakClient::stop);
        for (Thread thread : threads) {
            thread.join(PATIENCE.toMillis());
        }
    }
}
