package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Verdict;

/** Streams of jobs of several priorities on one placer with 20 endpoints of two task slots each. */
final class ShareLoad {
    static final int TASK_SLOTS = 40;

    private static final int ENDPOINTS = TASK_SLOTS / 2;
    private static final int JOB_ID_LENGTH = 16;
    private static final long SETTLING_MILLIS = 20;
    private static final long SAMPLE_MILLIS = 10;
    private static final long REVIEW_MILLIS = 100;

    final PlacerFixture fixture = new PlacerFixture(ENDPOINTS);
    final Placer placer;
    private final Map<JobId, Sent> sent = new HashMap<>();
    private final List<Sample> samples = new ArrayList<>();
    private final long startMillis;

    ShareLoad(SharePlan plan) {
        fixture.plan = plan;
        fixture.orders
                .endpoints
                .values()
                .forEach(each -> each.runMillisOf = run -> kind(run).runMillis());
        placer = fixture.placer(1);
        fixture.timers.advance(SETTLING_MILLIS);
        startMillis = fixture.timers.nowMillis();
    }

    private Kind kind(TaskRun run) {
        String job = run.task().text().substring(0, JOB_ID_LENGTH);
        return sent.get(new JobId(job)).kind();
    }

    /** A stream of equal jobs at a constant interval. */
    record Kind(int priority, int tasks, long runMillis, long intervalMillis) {}

    private record Sent(Kind kind, long atMillis) {}

    private record Sample(long atMillis, Map<Integer, Long> runsByPriority) {}

    /**
     * Schedules jobs of a kind from {@code fromMillis} to {@code toMillis}, in milliseconds since the start of the
     * load.
     */
    void send(Kind kind, long fromMillis, long toMillis) {
        for (long at = fromMillis; at < toMillis; at += kind.intervalMillis()) {
            fixture.timers.schedule(at, () -> offer(kind));
        }
    }

    private void offer(Kind kind) {
        Offer offer = PlacerFixture.offer(sent.size() + 1, kind.priority(), kind.tasks(), kind.runMillis());
        sent.put(offer.job().id(), new Sent(kind, now()));
        placer.offer(offer);
    }

    private long now() {
        return fixture.timers.nowMillis() - startMillis;
    }

    void run(long millis) {
        for (long at = SAMPLE_MILLIS; at < millis; at += SAMPLE_MILLIS) {
            fixture.timers.advance(SAMPLE_MILLIS);
            sample();
            if (at % REVIEW_MILLIS == 0) {
                placer.review();
            }
        }
    }

    private void sample() {
        Map<Integer, Long> runs = new HashMap<>();
        for (FakeEndpoint endpoint : fixture.orders.endpoints.values()) {
            endpoint.runs().forEach(run -> runs.merge(kind(run).priority(), 1L, Long::sum));
        }
        samples.add(new Sample(now(), runs));
    }

    /** Returns the mean number of running tasks of a priority between two times. */
    double meanRuns(int priority, long fromMillis, long toMillis) {
        return samples(fromMillis, toMillis).stream()
                .mapToLong(each -> each.runsByPriority().getOrDefault(priority, 0L))
                .average()
                .orElseThrow();
    }

    long maxRuns(int priority) {
        return samples.stream()
                .mapToLong(each -> each.runsByPriority().getOrDefault(priority, 0L))
                .max()
                .orElseThrow();
    }

    private List<Sample> samples(long fromMillis, long toMillis) {
        return samples.stream()
                .filter(each -> each.atMillis() >= fromMillis && each.atMillis() < toMillis)
                .toList();
    }

    /** Returns the fraction of the jobs of a kind that were sent between two times that was answered in time. */
    double inTimeFraction(Kind kind, long fromMillis, long toMillis) {
        return fraction(kind, fromMillis, toMillis, id -> {
            PlacerFixture.Settled end = fixture.settled.get(id);
            long elapsed = end == null
                    ? Long.MAX_VALUE
                    : end.atMillis() - startMillis - sent.get(id).atMillis();
            return end != null && end.verdict() == Verdict.DONE && elapsed <= 1.6 * kind.runMillis() + 60;
        });
    }

    double refusedFraction(Kind kind) {
        return fraction(kind, 0, Long.MAX_VALUE, id -> fixture.settled.get(id).verdict() == Verdict.DECLINED);
    }

    /** Returns the fraction of the declined jobs of a kind that was declined on arrival, with a retry time. */
    double refusedAtOnceFraction(Kind kind) {
        ImmutableList<JobId> refused = sent.keySet().stream()
                .filter(id -> sent.get(id).kind().equals(kind)
                        && fixture.settled.get(id).verdict() == Verdict.DECLINED)
                .collect(ImmutableList.toImmutableList());
        return mean(refused, id -> {
            PlacerFixture.Settled end = fixture.settled.get(id);
            boolean atOnce = end.atMillis() - startMillis == sent.get(id).atMillis();
            return atOnce && end.retryMillis() > 0 ? 1 : 0;
        });
    }

    private double fraction(Kind kind, long fromMillis, long toMillis, Predicate<JobId> wanted) {
        ImmutableList<JobId> ids = sent.keySet().stream()
                .filter(id -> sent.get(id).kind().equals(kind)
                        && sent.get(id).atMillis() >= fromMillis
                        && sent.get(id).atMillis() < toMillis)
                .collect(ImmutableList.toImmutableList());
        return mean(ids, id -> wanted.test(id) ? 1 : 0);
    }

    private static double mean(List<JobId> ids, ToDoubleFunction<JobId> value) {
        return ids.stream().mapToDouble(value).average().orElse(1);
    }
}
