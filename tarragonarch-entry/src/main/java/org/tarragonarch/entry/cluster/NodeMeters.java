package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.TimeGauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tarragonarch.core.placing.AbandonGround;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.QueueLookup;

/** The meters of a node on the users' platform. */
final class NodeMeters {
    /** The buckets of the histogram of answer times, around the queues' objectives of 150 ms to 4 s. */
    private static final Duration[] ANSWER_BOUNDS = {
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1_600),
        Duration.ofMillis(3_200)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<JobOutcome, Timer> answers = new EnumMap<>(JobOutcome.class);
    private final Map<EndKind, Counter> badRuns = new EnumMap<>(EndKind.class);
    private final Map<AbandonGround, Counter> abandonedTasks = new EnumMap<>(AbandonGround.class);
    private final Map<StoreTable, Counter> failedStoreCalls = new EnumMap<>(StoreTable.class);
    private final Map<QueueLookup.Result, Counter> queuesNotFound = new EnumMap<>(QueueLookup.Result.class);
    private final Counter jobDeclined =
            Counter.builder("tarragonarch.jobs.declined").register(registry);
    private final Counter restartedEndpoints =
            Counter.builder("tarragonarch.endpoints.restarted").register(registry);
    private final Counter crashConfirmed =
            Counter.builder("tarragonarch.crashes.confirmed").register(registry);
    private final Counter jobMoved = Counter.builder("tarragonarch.jobs.moved").register(registry);
    private final Counter jobMovedBack =
            Counter.builder("tarragonarch.jobs.moved.back").register(registry);
    private final Counter unreadableEndpointRows =
            Counter.builder("tarragonarch.endpoint.rows.unreadable").register(registry);

    NodeMeters(IntSupplier openJobs, LongSupplier droppedLines) {
        for (JobOutcome outcome : JobOutcome.values()) {
            answers.put(
                    outcome,
                    Timer.builder("tarragonarch.jobs.answered")
                            .tag("outcome", label(outcome))
                            .serviceLevelObjectives(ANSWER_BOUNDS)
                            .register(registry));
        }
        for (EndKind kind : EndKind.values()) {
            badRuns.put(
                    kind,
                    Counter.builder("tarragonarch.runs.ended.badly")
                            .tag("how", label(kind))
                            .register(registry));
        }
        for (AbandonGround ground : AbandonGround.values()) {
            abandonedTasks.put(
                    ground,
                    Counter.builder("tarragonarch.tasks.abandoned")
                            .tag("ground", label(ground))
                            .register(registry));
        }
        for (QueueLookup.Result result : EnumSet.complementOf(EnumSet.of(QueueLookup.Result.FOUND))) {
            queuesNotFound.put(
                    result,
                    Counter.builder("tarragonarch.queues.not.found")
                            .tag("result", label(result))
                            .register(registry));
        }
        Gauge.builder("tarragonarch.jobs.open", openJobs::getAsInt).register(registry);
        FunctionCounter.builder("tarragonarch.log.lines.dropped", droppedLines, LongSupplier::getAsLong)
                .register(registry);
    }

    /** Registers the age of the last answer and the counter of failed calls of a table of the store. */
    void watchStore(StoreTable table, LongSupplier sinceAnswerMillis) {
        failedStoreCalls.put(
                table,
                Counter.builder("tarragonarch.store.calls.failed")
                        .tag("table", label(table))
                        .register(registry));
        TimeGauge.builder("tarragonarch.store.answer.age", sinceAnswerMillis::getAsLong, TimeUnit.MILLISECONDS)
                .tag("table", label(table))
                .register(registry);
    }

    /** Registers the gauges of the version of the configuration and of the age of its last confirmation. */
    void watchConfiguration(ConfigurationInForce configuration) {
        Gauge.builder("tarragonarch.configuration.version", configuration::version)
                .register(registry);
        TimeGauge.builder("tarragonarch.configuration.age", () -> age(configuration), TimeUnit.MILLISECONDS)
                .register(registry);
    }

    /** Registers the gauge of the failure domains that this node knows to be drained. */
    void watchDrainedDomains(IntSupplier drainedDomains) {
        Gauge.builder("tarragonarch.domains.drained", drainedDomains::getAsInt).register(registry);
    }

    /** Registers the meters of the shares of a plan. */
    void watchShares(
            SharePlan plan,
            Supplier<ImmutableList<ShareState>> states,
            Supplier<ImmutableMap<Integer, Long>> usedElsewhere) {
        new ShareMeters(registry, states, usedElsewhere).register(plan);
    }

    /** Counts a job that was refused in a share. */
    void jobRefusedInShare(ShareId share) {
        ShareMeters.refusedJobs(registry, share.priority()).increment();
    }

    /** Registers the gauges of the speeds of this node's endpoints, relative to their pool. */
    void watchSpeeds(Supplier<SpeedSummary> speeds) {
        watchSpeed("slowest", () -> speeds.get().slowest());
        watchSpeed("mean", () -> speeds.get().mean());
        watchSpeed("fastest", () -> speeds.get().fastest());
    }

    private void watchSpeed(String which, Supplier<Number> speed) {
        Gauge.builder("tarragonarch.endpoints.speed", speed).tag("of", which).register(registry);
    }

    /** Returns the age of the last confirmation in milliseconds; NaN if there was none. */
    private static double age(ConfigurationInForce configuration) {
        OptionalLong age = configuration.ageMillis();
        return age.isPresent() ? age.getAsLong() : Double.NaN;
    }

    void storeCallFailed(StoreTable table) {
        failedStoreCalls.get(table).increment();
    }

    void queueNotFound(QueueLookup.Result result) {
        queuesNotFound.get(result).increment();
    }

    void jobAnswered(JobOutcome outcome, long tookMillis) {
        answers.get(outcome).record(Duration.ofMillis(tookMillis));
    }

    void jobDeclined() {
        jobDeclined.increment();
    }

    void jobMoved() {
        jobMoved.increment();
    }

    void jobMovedBack() {
        jobMovedBack.increment();
    }

    void endpointRowUnreadable() {
        unreadableEndpointRows.increment();
    }

    void endpointRestarted() {
        restartedEndpoints.increment();
    }

    void runEndedBadly(EndKind kind) {
        badRuns.get(kind).increment();
    }

    void crashConfirmed() {
        crashConfirmed.increment();
    }

    void taskAbandoned(AbandonGround ground) {
        abandonedTasks.get(ground).increment();
    }

    String scrape() {
        return registry.scrape();
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
