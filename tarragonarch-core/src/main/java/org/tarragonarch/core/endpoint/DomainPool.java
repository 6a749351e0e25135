package org.tarragonarch.core.endpoint;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.core.placement.SlotPool;

/** The endpoints of one service in one failure domain, counted by condition. */
final class DomainPool {
    /** Peers count as idle if they use fewer than one slot in this many for {@link #IDLE_NANOS}. */
    private static final int IDLE_DIVISOR = 10;

    /** How long peers must use few slots to count as idle; work comes in bursts, so one low report is not enough. */
    private static final long IDLE_NANOS = Duration.ofSeconds(3).toNanos();

    private final Map<EndpointRecord, Contribution> members = new HashMap<>();
    private final SlotPool readySlots;
    private int usableEndpoints;
    private int usableSlots;
    private int quarantined;
    private int peersInFlight;
    private long lastPeersBusyNanos = Long.MIN_VALUE;

    DomainPool(PlacementStrategy strategy) {
        readySlots = SlotPool.create(strategy);
    }

    /** Adds or updates an endpoint. */
    void update(EndpointRecord endpoint, long nowNanos) {
        Contribution current = Contribution.of(endpoint);
        count(members.put(endpoint, current), -1);
        count(current, 1);
        if (lastPeersBusyNanos == Long.MIN_VALUE || peersInFlight * IDLE_DIVISOR >= usableSlots) {
            lastPeersBusyNanos = nowNanos;
        }
        if (endpoint.canReceiveTask()) {
            readySlots.put(endpoint.slots());
        } else {
            readySlots.remove(endpoint.slots());
        }
    }

    void remove(EndpointRecord endpoint) {
        count(members.remove(endpoint), -1);
        readySlots.remove(endpoint.slots());
    }

    /** Returns how many endpoints may get tasks, whether or not they are full. */
    int usableEndpoints() {
        return usableEndpoints;
    }

    /** Returns the number of slots of the usable endpoints. */
    int usableSlots() {
        return usableSlots;
    }

    /**
     * Returns whether one more endpoint may be quarantined.
     *
     * <p>A fault outside the endpoints, such as a bad kind or a broken network, makes many of them fail at once. The
     * limit keeps most of them in use, so that such a fault cannot quarantine a whole failure domain.
     */
    boolean canQuarantineOne() {
        int maxQuarantined = Math.max(1, members.size() / HealthPolicy.ENDPOINTS_PER_QUARANTINE);
        return quarantined < maxQuarantined && usableEndpoints > 1;
    }

    /**
     * Returns whether peers have reported next to no load here for some time.
     *
     * <p>Slots left to idle peers stay empty while this node's tasks wait. If a load balancer or the callers send all
     * work to one node, that node could otherwise never fill the failure domain.
     */
    boolean arePeersIdle(long nowNanos) {
        return lastPeersBusyNanos != Long.MIN_VALUE && nowNanos - lastPeersBusyNanos >= IDLE_NANOS;
    }

    /** Returns the slots of the endpoints that can receive a task now. */
    SlotPool readySlots() {
        return readySlots;
    }

    private void count(Contribution contribution, int sign) {
        if (contribution != null) {
            usableEndpoints += contribution.usable ? sign : 0;
            usableSlots += contribution.usable ? sign * contribution.slots : 0;
            quarantined += contribution.quarantined ? sign : 0;
            peersInFlight += sign * contribution.peersInFlight;
        }
    }

    /** What an endpoint adds to the counts. */
    private record Contribution(boolean usable, int slots, boolean quarantined, int peersInFlight) {
        static Contribution of(EndpointRecord endpoint) {
            return new Contribution(
                    endpoint.condition().isUsable(),
                    endpoint.slots().slots(),
                    endpoint.countsAsQuarantined(),
                    endpoint.slots().peersInFlight());
        }
    }
}
