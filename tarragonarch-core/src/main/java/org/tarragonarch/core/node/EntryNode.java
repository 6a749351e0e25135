package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Longs;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.WakeAt;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.core.status.QuotaStatus;

/**
 * A deterministic state machine that turns the events of one entry node into actions.
 *
 * <p>It uses no clock, threads, locks or I/O. Time, seed and identity are passed in, so the same events at the same
 * times always give the same actions. Not safe for use by several threads.
 */
public final class EntryNode {
    private static final long MIN_WAKE_DELAY_NANOS = 1_000_000;

    private final NodeIdentity identity;
    private final NodeParts parts;
    private final EventHandlers handlers = new EventHandlers();
    private final EndpointHandler endpoints;
    private final LifecycleHandler lifecycle;
    private final MembershipHandler membership;
    private long requestedWakeNanos = Long.MAX_VALUE;

    private EntryNode(NodeIdentity identity, NodePolicy policy, long seed) {
        this.identity = checkNotNull(identity, "identity");
        this.parts = new NodeParts(identity, checkNotNull(policy, "policy"), seed);
        this.endpoints = new EndpointHandler(parts);
        this.lifecycle = new LifecycleHandler(parts);
        this.membership = new MembershipHandler(parts, lifecycle, policy.vmListInterval());
        endpoints.register(handlers);
        lifecycle.register(handlers);
        membership.register(handlers);
        new SubmissionHandler(parts).register(handlers);
        new ClaimHandler(parts).register(handlers);
        new ConfigurationHandler(parts, lifecycle).register(handlers);
        handlers.register(TimePassed.class, (passed, nowNanos, sink) -> parts.dispatcher.markAllServicesChanged());
        handlers.checkComplete();
    }

    /**
     * Returns a node that has just started.
     *
     * @param identity the identity of the node
     * @param policy the intervals, timeouts and limits of the node
     * @param seed the seed of its random choices
     */
    public static EntryNode create(NodeIdentity identity, NodePolicy policy, long seed) {
        return new EntryNode(identity, policy, seed);
    }

    /**
     * Handles one event.
     *
     * <p>The caller passes {@code TimePassed} once at the start and then whenever a {@code WakeAt} is due.
     *
     * @param nowNanos the time of a monotonic clock, in nanoseconds
     * @param event the event
     * @param sink takes the actions, in order
     */
    public void handle(long nowNanos, Event event, ActionSink sink) {
        handlers.handle(event, nowNanos, sink);
        parts.dispatcher.endExpired(nowNanos, sink);
        timePassed(nowNanos, sink);
        parts.dispatcher.startWaitingTasks(nowNanos, sink);
        lifecycle.leaveIfDone(nowNanos, sink);
        requestWake(nowNanos, sink);
    }

    /** Returns a snapshot for the administration API, in time linear in the size of the snapshot. */
    public NodeStatus status() {
        return new NodeStatus(
                identity.node(),
                identity.incarnation(),
                identity.domain(),
                parts.lifecycle.phase(),
                parts.configuration.version(),
                parts.submissions.size(),
                parts.endpoints.views().status(),
                parts.peers.status(),
                queueStatus(),
                quotaStatus());
    }

    private void timePassed(long nowNanos, ActionSink sink) {
        membership.readVmListIfDue(nowNanos, sink);
        parts.configuration.timePassed(nowNanos, sink);
        membership.timePassed(nowNanos, sink);
        endpoints.timePassed(nowNanos, sink);
        parts.keys.timePassed(nowNanos, sink);
    }

    /**
     * Requests a wake-up for the earliest due time, unless the last request was for the same time.
     *
     * <p>A due time that has passed is replaced by {@code MIN_WAKE_DELAY_NANOS} from now. Without this, a component
     * that keeps returning the same past time would suppress further requests, and deadlines would be noticed only
     * at the next event.
     */
    private void requestWake(long nowNanos, ActionSink sink) {
        long next = Longs.min(
                membership.nextWakeNanos(),
                parts.configuration.nextWakeNanos(),
                parts.endpoints.nextWakeNanos(),
                parts.keys.nextWakeNanos(),
                parts.submissions.nextDeadlineNanos(),
                parts.lifecycle.nextWakeNanos());
        long wake = next > nowNanos ? next : nowNanos + MIN_WAKE_DELAY_NANOS;
        if (wake != requestedWakeNanos) {
            requestedWakeNanos = wake;
            sink.emit(new WakeAt(wake));
        }
    }

    private ImmutableList<QuotaStatus> quotaStatus() {
        return parts.quotas.uses().stream()
                .map(use -> new QuotaStatus(use.key(), use.running(), use.share(), use.limit()))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<QueueStatus> queueStatus() {
        return parts.configuration
                .inForce()
                .map(catalog ->
                        parts.lanes.status(ImmutableSet.copyOf(catalog.teams().values())))
                .orElse(ImmutableList.of());
    }
}
