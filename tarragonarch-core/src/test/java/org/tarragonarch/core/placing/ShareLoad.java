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

/** Streams of jobs of several priorities on one placer with 20 endpoints, which hold two tasks each. */
final class ShareLoad {
    static final int PLACES = 40;

    private static final int ENDPOINTS = PLACES / 2;
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

    /** One kind of job; they come at even distances. */
    record Kind(int priority, int tasks, long runMillis, long everyMillis) {}

    private record Sent(Kind kind, long atMillis) {}

    private record Sample(long atMillis, Map<Integer, Long> runsByPriority) {}

    /** Has jobs of a kind come from one moment of the load to another. */
    void send(Kind kind, long fromMillis, long toMillis) {
        for (long at = fromMillis; at < toMillis; at += kind.everyMillis()) {
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

    void play(long millis) {
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

    /** Returns the mean of how many tasks of a priority ran between two moments. */
    double meanRuns(int priority, long fromMillis, long toMillis) {
        return samples(fromMillis, toMillis).stream()
                .mapToLong(each -> each.runsByPriority().getOrDefault(priority, 0L))
                .average()
                .orElseThrow();
    }

    long mostRuns(int priority) {
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

    /** Returns which part of the jobs of a kind that were sent between two moments was answered in time. */
    double inTime(Kind kind, long fromMillis, long toMillis) {
        return part(kind, fromMillis, toMillis, id -> {
            PlacerFixture.Settled end = fixture.settled.get(id);
            long took = end == null
                    ? Long.MAX_VALUE
                    : end.atMillis() - startMillis - sent.get(id).atMillis();
            return end != null && end.verdict() == Verdict.DONE && took <= 1.6 * kind.runMillis() + 60;
        });
    }

    double refused(Kind kind) {
        return part(kind, 0, Long.MAX_VALUE, id -> fixture.settled.get(id).verdict() == Verdict.DECLINED);
    }

    /** Returns which part of the refused jobs of a kind was refused as they came, with a time to come back. */
    double refusedAtOnce(Kind kind) {
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

    private double part(Kind kind, long fromMillis, long toMillis, Predicate<JobId> wanted) {
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
