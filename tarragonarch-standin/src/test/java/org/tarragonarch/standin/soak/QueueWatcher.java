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
 * Asks every node in turn for the newest queue, and notes each node that says there is none although it was added long
 * ago. That has to hold under every fault: a node that cannot know may tell its clients to come back.
 */
final class QueueWatcher implements Runnable {
    /** A change is in force within 2 s; the rest is for a machine that is busy. */
    private static final long IN_FORCE_MILLIS = 3_000;

    private static final int NOT_FOUND = 404;
    private static final long PAUSE_MILLIS = 20;
    private static final Duration PATIENCE = Duration.ofMillis(500);

    private final SoakCluster cluster;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(PATIENCE).build();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private volatile boolean ended;
    private volatile int answers;

    QueueWatcher(SoakCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns each wrong answer. */
    List<String> violations() {
        return violations;
    }

    /** Returns how many requests were answered. */
    int answers() {
        return answers;
    }

    /** Waits until the queue that was added last has been due for as long as one round of all nodes takes. */
    void awaitNewestQueueDue() throws InterruptedException {
        long round = cluster.nodeCount() * (PATIENCE.toMillis() + PAUSE_MILLIS);
        long until = cluster.newestQueue().addedAtMillis() + IN_FORCE_MILLIS + round;
        Thread.sleep(Math.max(0, until - StandInEndpoint.clockMillis()));
    }

    /** Asks nothing more. */
    void stop() {
        ended = true;
    }

    @Override
    public void run() {
        try {
            for (int node = 0; !ended; node++) {
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
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(PATIENCE).build();
        try {
            int status =
                    http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            answers++;
            if (status == NOT_FOUND && sentAt - queue.addedAtMillis() > IN_FORCE_MILLIS) {
                violations.add("node " + node % cluster.nodeCount() + " knows no " + queue + " at " + sentAt);
            }
        } catch (IOException e) {
            // A node that is away says nothing wrong.
        }
    }
}
