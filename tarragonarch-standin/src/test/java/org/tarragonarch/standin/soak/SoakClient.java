package org.tarragonarch.standin.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.adapter.standin.StandInEndpoint;

/**
 * A client that sends one job after another over a persistent connection.
 *
 * <p>After a timeout, a broken connection or an answer that the job was given up, it sends the same job to the next
 * node after the delay that the platform's clients use.
 */
final class SoakClient implements Runnable {
    private static final long RESEND_MILLIS = 1_300;
    private static final long DEADLINE_MILLIS = 2_500;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_TASKS = 6;
    private static final int MIN_RUN_MILLIS = 20;
    private static final int RUN_RANGE_MILLIS = 500;
    private static final int MAX_PAUSE_MILLIS = 120;

    private final SoakCluster cluster;
    private final int number;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final List<SentJob> jobs = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;

    SoakClient(SoakCluster cluster, int number, long seed) {
        this.cluster = cluster;
        this.number = number;
        this.random = new Random(seed * 31 + number);
    }

    /** Returns all jobs sent so far. */
    List<SentJob> jobs() {
        return jobs;
    }

    /** Stops after the current job. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            for (int count = 0; !stopped; count++) {
                sendUntilAnswered(next(count), number);
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SentJob next(int count) {
        String id = String.format("%04x%012x", number, count);
        long runMillis = MIN_RUN_MILLIS + random.nextInt(RUN_RANGE_MILLIS);
        SentJob job = new SentJob(id, 1 + random.nextInt(MAX_TASKS), runMillis);
        jobs.add(job);
        return job;
    }

    private void sendUntilAnswered(SentJob job, int firstNode) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            SentJob.Answer answer = send(job, firstNode + attempt);
            job.recordAnswer(answer, StandInEndpoint.clockMillis());
            if (answer != SentJob.Answer.UNKNOWN) {
                return;
            }
            Thread.sleep(RESEND_MILLIS);
        }
    }

    private SentJob.Answer send(SentJob job, int node) throws InterruptedException {
        URI uri = URI.create("http://" + cluster.clientAddress(node) + SoakCluster.QUEUE + job.id());
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("X-Deadline-Ms", Long.toString(DEADLINE_MILLIS))
                .timeout(Duration.ofMillis(DEADLINE_MILLIS))
                .POST(HttpRequest.BodyPublishers.ofString(job.body()))
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return answer(response);
        } catch (IOException e) {
            // After a broken connection or a timeout it is unknown whether the job ran.
            return SentJob.Answer.UNKNOWN;
        }
    }

    private static SentJob.Answer answer(HttpResponse<String> response) {
        return switch (response.statusCode()) {
            case 200 -> response.body().contains("done") ? SentJob.Answer.DONE : SentJob.Answer.FAILED;
            case 429, 503 -> SentJob.Answer.REFUSED;
            case 502, 504 -> SentJob.Answer.UNKNOWN;
            default -> throw new AssertionError("status code that the protocol does not define: " + response);
        };
    }
}
