package org.tarragonarch.standin.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.adapter.standin.StandInEndpoint;

/**
 * Asks every node in turn for the newest queue, and records each node that answers 404 although the queue should be in
 * force.
 *
 * <p>This must hold under every fault: a node that may lack the newest configuration can ask clients to retry instead.
 */
final class QueueWatcher implements Runnable {
    /** A change is in force within 2 s; one more second allows for a busy machine. */
    private static final long IN_FORCE_MILLIS = 3_000;

    private static final int NOT_FOUND = 404;
    private static final long PAUSE_MILLIS = 20;
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final SoakCluster cluster;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;
    private volatile int answers;

    QueueWatcher(SoakCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns a description of each wrong answer. */
    List<String> violations() {
        return violations;
    }

    /** Returns how many requests were answered. */
    int answers() {
        return answers;
    }

    /** Waits until the newest queue should be in force and every node has been asked for it once more. */
    void awaitNewestQueueDue() throws InterruptedException {
        long round = cluster.nodeCount() * (TIMEOUT.toMillis() + PAUSE_MILLIS);
        long until = cluster.newestQueue().addedAtMillis() + IN_FORCE_MILLIS + round;
        Thread.sleep(Math.max(0, until - StandInEndpoint.clockMillis()));
    }

    /** Stops asking. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            for (int node = 0; !stopped; node++) {
                ask(node, cluster.newestQueue());
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(int node, SoakCluster.AddedQueue queue) throws InterruptedException {
        long sentAt = StandInEndpoint.clockMillis();
        URI uri = URI.create("http://" + cluster.clientAddress(node) + queue.prefix());
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
        try {
            int status =
                    http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            answers++;
            if (status == NOT_FOUND && sentAt - queue.addedAtMillis() > IN_FORCE_MILLIS) {
                violations.add("node " + node % cluster.nodeCount() + " does not know " + queue + " at " + sentAt);
            }
        } catch (IOException e) {
            // A node that cannot be reached gives no wrong answer.
        }
    }
}
