package org.tarragonarch.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Response;
import org.tarragonarch.model.outcome.Outcome;

/**
 * One run of the load driver.
 *
 * <p>Response times are measured from the time at which a submission was due, not from when it was sent, so that a
 * driver that falls behind reports longer response times, never shorter ones.
 */
public final class LoadRun {
    private static final int MAX_OPEN = 4_000;
    private static final int MAX_IDLE_CONNECTIONS = 1_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LoadOptions options;
    private final Consumer<String> progress;
    private final LoadResult result = new LoadResult();
    private final Set<JobCall> open = ConcurrentHashMap.newKeySet();
    private final OkHttpClient client;
    private final SplittableRandom plans;
    private final SplittableRandom keys;
    private final Arrivals arrivals;

    private LoadRun(LoadOptions options, Consumer<String> progress) {
        this.options = options;
        this.progress = progress;
        SplittableRandom seeds = new SplittableRandom(options.seed());
        this.arrivals = new Arrivals(seeds.split(), options.pattern(), options.jobsPerSecond());
        this.plans = seeds.split();
        this.keys = seeds.split();
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_OPEN);
        dispatcher.setMaxRequestsPerHost(MAX_OPEN);
        // The client's timeout exceeds the time allowed, so that the answer of the node is counted, not a timeout.
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
                .retryOnConnectionFailure(false)
                .readTimeout(options.timeAllowed().plusSeconds(2))
                .callTimeout(options.timeAllowed().plusSeconds(2))
                .build();
    }

    /**
     * Runs the load and returns the results as JSON; {@code wrong-answers} is 0 if every answer was valid.
     *
     * @param options the options of the run
     * @param progress the receiver of one progress line per second
     */
    public static ObjectNode run(LoadOptions options, Consumer<String> progress) {
        return new LoadRun(options, progress).run();
    }

    private ObjectNode run() {
        Counters before = Counters.read(client, options);
        long start = System.nanoTime();
        submitAll(start);
        double arrivalSeconds = secondsSince(start);
        result.endArrivals();
        awaitAnswers(start);
        double totalSeconds = secondsSince(start);
        ObjectNode json = result.json(options.slots(), arrivalSeconds, totalSeconds);
        json.put("jobs-per-second", options.jobsPerSecond());
        json.put("seed", options.seed());
        json.set("counters", Counters.read(client, options).increaseSince(before));
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        return json;
    }

    private void submitAll(long start) {
        long nextProgress = NANOS_PER_SECOND;
        boolean cancelled = options.cancelAt().isEmpty();
        for (int job = 0; job < options.maxJobs(); job++) {
            long due = arrivals.nextNanos();
            if (due > options.duration().toNanos()) {
                return;
            }
            while (nextProgress < due) {
                sleepUntil(start + nextProgress);
                progress.accept(result.progress(nextProgress / NANOS_PER_SECOND));
                nextProgress += NANOS_PER_SECOND;
            }
            if (!cancelled && due > options.cancelAt().get().toNanos()) {
                cancelHalf();
                cancelled = true;
            }
            sleepUntil(start + due);
            submit(job, start + due);
        }
    }

    private void submit(int job, long due) {
        JobPlan plan = options.shape().nextPlan(plans);
        String requestId = "load-" + options.seed() + "-" + job;
        boolean keyed = keys.nextDouble() < options.keyedShare();
        if (client.dispatcher().runningCallsCount() >= MAX_OPEN) {
            result.recordNotSent();
            return;
        }
        JobCall call = new JobCall(
                options,
                options.callers().get(job % options.callers().size()),
                requestId,
                keyed ? Optional.of("key-" + requestId) : Optional.empty(),
                plan);
        open.add(call);
        result.recordSent(plan);
        client.newCall(call.submissionRequest()).enqueue(new Answer(call, due));
    }

    private void cancelHalf() {
        List<JobCall> running = new ArrayList<>(open);
        for (int i = 0; i < running.size(); i += 2) {
            client.newCall(running.get(i).cancellationRequest()).enqueue(new Ignored());
        }
    }

    private void awaitAnswers(long start) {
        long second = (System.nanoTime() - start) / NANOS_PER_SECOND;
        while (!open.isEmpty()) {
            LockSupport.parkNanos(NANOS_PER_SECOND / 100);
            long now = (System.nanoTime() - start) / NANOS_PER_SECOND;
            if (now > second) {
                second = now;
                progress.accept(result.progress(second));
            }
        }
    }

    private static void sleepUntil(long nanoTime) {
        for (long left = nanoTime - System.nanoTime(); left > 0; left = nanoTime - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private static double secondsSince(long start) {
        return (System.nanoTime() - start) / (double) NANOS_PER_SECOND;
    }

    /** The callback for the answer to one submission. */
    private final class Answer implements Callback {
        private final JobCall call;
        private final long due;

        Answer(JobCall call, long due) {
            this.call = call;
            this.due = due;
        }

        @Override
        public void onResponse(Call http, Response response) {
            try (response) {
                byte[] body = response.body().bytes();
                long nanos = System.nanoTime() - due;
                AnswerCheck check = call.check(response.code(), response.header("Outcome", ""), body);
                double ideal = call.plan().slowestMillis() + options.roundTrip().toNanos() / NANOS_PER_MILLI;
                result.recordAnswer(call.plan(), check, nanos, ideal);
                recordProblem(check, response, body);
            } catch (IOException e) {
                result.recordNoAnswer(e.getClass().getSimpleName());
            } finally {
                open.remove(call);
            }
        }

        @Override
        public void onFailure(Call http, IOException e) {
            result.recordNoAnswer(e.getClass().getSimpleName());
            open.remove(call);
        }

        private void recordProblem(AnswerCheck check, Response response, byte[] body) throws IOException {
            if (check.error().isPresent() || check.outcome().equals(Outcome.COMPLETE.word())) {
                return;
            }
            JsonNode problem = MAPPER.readTree(body);
            result.recordProblem(check.outcome() + " " + problem.path("code").asText());
            boolean retryAfterRequired = response.code() == 429 || response.code() == 503;
            if (retryAfterRequired && response.header("Retry-After") == null) {
                result.recordRefusalWithoutRetryAfter();
            }
        }
    }

    /** The callback for the answer to a cancellation, which is ignored. */
    private static final class Ignored implements Callback {
        @Override
        public void onResponse(Call http, Response response) {
            response.close();
        }

        @Override
        public void onFailure(Call http, IOException e) {
            // The answer to the submission shows whether it was cancelled.
        }
    }
}
