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
 * A client that sends one job after the other over a connection that it keeps.
 *
 * <p>After no answer, a broken connection or the word that a job was given up it sends the same job again, to the next
 * node, after the pause that the platform's clients keep.
 */
final class SoakClient implements Runnable {
    private static final long RESEND_MILLIS = 1_300;
    private static final long DEADLINE_MILLIS = 2_500;
    private static final int TRIES = 3;
    private static final int MOST_TASKS = 6;
    private static final int SHORTEST_RUN_MILLIS = 20;
    private static final int MORE_RUN_MILLIS = 500;
    private static final int LONGEST_PAUSE_MILLIS = 120;

    private final SoakCluster cluster;
    private final int number;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final List<SentJob> jobs = new CopyOnWriteArrayList<>();
    private volatile boolean ended;

    SoakClient(SoakCluster cluster, int number, long seed) {
        this.cluster = cluster;
        this.number = number;
        this.random = new Random(seed * 31 + number);
    }

    /** Returns every job that it sent. */
    List<SentJob> jobs() {
        return jobs;
    }

    /** Sends nothing new. */
    void stop() {
        ended = true;
    }

    @Override
    public void run() {
        try {
            for (int count = 0; !ended; count++) {
                sendUntilAnswered(next(count), number);
                Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SentJob next(int count) {
        String id = String.format("%04x%012x", number, count);
        long runMillis = SHORTEST_RUN_MILLIS + random.nextInt(MORE_RUN_MILLIS);
        SentJob job = new SentJob(id, 1 + random.nextInt(MOST_TASKS), runMillis);
        jobs.add(job);
        return job;
    }

    private void sendUntilAnswered(SentJob job, int firstNode) throws InterruptedException {
        for (int attempt = 0; attempt < TRIES; attempt++) {
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
            // A connection that breaks or times out tells nothing of the job; that is the point of the soak.
            return SentJob.Answer.UNKNOWN;
        }
    }

    private static SentJob.Answer answer(HttpResponse<String> response) {
        return switch (response.statusCode()) {
            case 200 -> response.body().contains("done") ? SentJob.Answer.DONE : SentJob.Answer.FAILED;
            case 429, 503 -> SentJob.Answer.REFUSED;
            case 502, 504 -> SentJob.Answer.UNKNOWN;
            default -> throw new AssertionError("an answer that the protocol does not know: " + response);
        };
    }
}
