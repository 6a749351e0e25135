package org.tarragonarch.entry.metrics;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.MultiGauge.Row;
import io.micrometer.core.instrument.Tags;
import java.util.function.Function;
import org.tarragonarch.core.status.EndpointStatus;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.core.status.QuotaStatus;
import org.tarragonarch.model.report.NodePhase;

/** Gauges updated from status snapshots of the core: queues, slots, quotas, peers. */
public final class StatusGauges {
    private final MultiGauge submissions;
    private final MultiGauge configuration;
    private final MultiGauge ready;
    private final MultiGauge queued;
    private final MultiGauge running;
    private final MultiGauge slots;
    private final MultiGauge inFlight;
    private final MultiGauge quotaShare;
    private final MultiGauge quotaRunning;
    private final MultiGauge peersAlive;

    StatusGauges(MeterRegistry registry) {
        submissions = gauge(registry, "submissions.open", "Submissions without an answer yet");
        configuration = gauge(registry, "configuration.version", "The version of the configuration in force");
        ready = gauge(registry, "ready", "1 while the balancer should send requests here");
        queued = gauge(registry, "queued.tasks", "Tasks that wait for a slot");
        running = gauge(registry, "running.tasks", "Tasks that were sent and have not ended");
        slots = gauge(registry, "endpoint.slots", "Slots of an endpoint, by its health");
        inFlight = gauge(registry, "endpoint.in.flight.tasks", "Tasks of this node at an endpoint");
        quotaShare = gauge(registry, "quota.share.tasks", "Tasks of a team that may run from this node at once");
        quotaRunning = gauge(registry, "quota.running.tasks", "Tasks of a team that run from this node");
        peersAlive = gauge(registry, "peer.alive", "1 while another node is heard");
    }

    /** Sets all gauges from a snapshot and removes the series that it no longer has. */
    public synchronized void update(NodeStatus status) {
        submissions.register(one(status.submissions()), true);
        configuration.register(one(status.configuration().value()), true);
        ready.register(one(status.phase() == NodePhase.SERVING ? 1 : 0), true);
        queued.register(rows(status.queues(), row -> Row.of(queue(row), row.queuedTasks())), true);
        running.register(rows(status.queues(), row -> Row.of(queue(row), row.runningTasks())), true);
        slots.register(
                rows(status.endpoints(), row -> Row.of(endpoint(row).and("health", row.health()), row.slots())), true);
        inFlight.register(rows(status.endpoints(), row -> Row.of(endpoint(row), row.inFlight())), true);
        quotaShare.register(rows(status.quotas(), row -> Row.of(team(row), row.share())), true);
        quotaRunning.register(rows(status.quotas(), row -> Row.of(team(row), row.running())), true);
        peersAlive.register(rows(status.peers(), row -> Row.of(peer(row), row.alive() ? 1 : 0)), true);
    }

    private static MultiGauge gauge(MeterRegistry registry, String name, String description) {
        return MultiGauge.builder("tarragonarch." + name)
                .description(description)
                .register(registry);
    }

    private static ImmutableList<Row<?>> one(Number value) {
        return ImmutableList.of(Row.of(Tags.empty(), value));
    }

    private static <T> ImmutableList<Row<?>> rows(ImmutableList<T> items, Function<T, Row<?>> row) {
        return items.stream().map(row).collect(ImmutableList.toImmutableList());
    }

    private static Tags queue(QueueStatus queue) {
        return Tags.of("service", queue.service().value(), "team", queue.team().value());
    }

    private static Tags endpoint(EndpointStatus endpoint) {
        return Tags.of(
                "endpoint",
                endpoint.endpoint().value(),
                "domain",
                endpoint.domain().value());
    }

    private static Tags team(QuotaStatus quota) {
        return Tags.of("team", quota.team().value());
    }

    private static Tags peer(PeerStatus peer) {
        return Tags.of("peer", peer.node().value(), "domain", peer.domain().value());
    }
}
