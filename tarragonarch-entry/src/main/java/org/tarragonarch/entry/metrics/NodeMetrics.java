package org.tarragonarch.entry.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.core.instrument.binder.system.UptimeMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.entry.http.CutCause;
import org.tarragonarch.entry.http.HttpEvents;
import org.tarragonarch.entry.log.NoteLog;
import org.tarragonarch.model.id.NodeId;

/** The metrics of one node, described in {@code docs/METRICS.md}. Thread-safe. */
public final class NodeMetrics implements AutoCloseable {
    private static final String PREFIX = "tarragonarch.";
    private static final Duration SHORTEST_RESPONSE = Duration.ofMillis(1);
    private static final Duration LONGEST_RESPONSE = Duration.ofSeconds(60);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final JvmGcMetrics garbageCollection = new JvmGcMetrics();
    private final StatusGauges status = new StatusGauges(registry);

    private NodeMetrics(NodeId node) {
        registry.config().commonTags("node", node.value());
        new JvmMemoryMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        new UptimeMetrics().bindTo(registry);
        garbageCollection.bindTo(registry);
        startAtZero();
    }

    /** Creates the metrics of a node, with all counters of known labels at zero. */
    public static NodeMetrics create(NodeId node) {
        return new NodeMetrics(node);
    }

    // A counter that appears only with its first event shows a scraper no increase, so alerts would miss that event.
    private void startAtZero() {
        for (WasteKind kind : WasteKind.values()) {
            wasteCounter(kind);
        }
        for (SendResult result : SendResult.values()) {
            sendCounter(result);
        }
        for (NoteEvent event : NoteEvent.values()) {
            noteCounter(event);
        }
    }

    /** Counts an answer to a caller and records its response time. */
    public void recordAnswer(SubmissionForm form, String outcome, String code, Duration responseTime) {
        Timer.builder(PREFIX + "response.time")
                .description("Time from the last byte of a submission to its answer")
                .tag("form", form.name().toLowerCase(Locale.ROOT))
                .tag("outcome", outcome)
                .publishPercentileHistogram()
                .minimumExpectedValue(SHORTEST_RESPONSE)
                .maximumExpectedValue(LONGEST_RESPONSE)
                .register(registry)
                .record(responseTime);
        Counter.builder(PREFIX + "answers")
                .description("Answers to callers")
                .tag("outcome", outcome)
                .tag("code", code)
                .register(registry)
                .increment();
    }

    /** Counts a request that was refused before it reached the core. */
    public void countRefusal(String code) {
        counter("refusals", "Messages refused before they became submissions", "code", code)
                .increment();
    }

    /** Counts a finished send of a task, and a refused one also as a wasted message. */
    public void countSend(SendResult result) {
        sendCounter(result).increment();
        if (result == SendResult.REFUSED_BUSY || result == SendResult.REFUSED_DRAINING) {
            countWastedMessage(WasteKind.REFUSED_SEND);
        }
    }

    /** Counts a message that did not contribute to a result. */
    public void countWastedMessage(WasteKind kind) {
        wasteCounter(kind).increment();
    }

    /** Counts a note of the core. */
    public void countNote(Note note) {
        noteCounter(note.event()).increment();
    }

    /** Counts a request whose token is missing, unknown or lacks permission. */
    public void countAuthenticationFailure(String port) {
        authenticationFailureCounter(port).increment();
    }

    /** Records the duration and result of a call to the platform. */
    public void recordPlatformCall(String call, boolean failed, Duration time) {
        Timer.builder(PREFIX + "platform.call.time")
                .description("Time of calls to the platform")
                .tag("call", call)
                .tag("result", failed ? "failed" : "ok")
                .register(registry)
                .record(time);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void addGauge(String name, String unit, String description, Supplier<Number> value) {
        Gauge.builder(PREFIX + name, value)
                .description(description)
                .baseUnit(unit)
                .strongReference(true)
                .register(registry);
    }

    /** Returns a listener that counts the connections and limit violations of one port. */
    public HttpEvents httpEvents(String port) {
        authenticationFailureCounter(port);
        for (CutCause cause : CutCause.values()) {
            cutCounter(port, cause);
        }
        AtomicInteger open = new AtomicInteger();
        Gauge.builder(PREFIX + "http.connections", open, AtomicInteger::get)
                .description("Open connections")
                .tag("port", port)
                .strongReference(true)
                .register(registry);
        return new HttpEvents() {
            @Override
            public void connectionOpened() {
                open.incrementAndGet();
            }

            @Override
            public void connectionClosed() {
                open.decrementAndGet();
            }

            @Override
            public void cut(CutCause cause, String remote) {
                cutCounter(port, cause).increment();
            }
        };
    }

    /** Returns the gauges that are updated from status snapshots. */
    public StatusGauges status() {
        return status;
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    @Override
    public void close() {
        garbageCollection.close();
        registry.close();
    }

    private Counter wasteCounter(WasteKind kind) {
        return counter("wasted.messages", "Messages that did nothing towards a result", "kind", kind.word());
    }

    private Counter sendCounter(SendResult result) {
        return counter("task.sends", "Sends of tasks to endpoints, by how they ended", "result", word(result));
    }

    private Counter noteCounter(NoteEvent event) {
        return counter("notes", "Events that the core noted", "event", NoteLog.word(event));
    }

    private Counter authenticationFailureCounter(String port) {
        return counter("authentication.failures", "Requests without a token that allows them", "port", port);
    }

    private Counter counter(String name, String description, String tag, String value) {
        return Counter.builder(PREFIX + name)
                .description(description)
                .tag(tag, value)
                .register(registry);
    }

    private Counter cutCounter(String port, CutCause cause) {
        return Counter.builder(PREFIX + "http.cuts")
                .description("Connections and requests that a limit cut")
                .tag("port", port)
                .tag("cause", cause.word())
                .register(registry);
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
