package org.tarragonarch.core.endpoint;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.core.placement.SlotPool;

/** The endpoints of one service in one failure domain, counted by condition. */
final class DomainPool {
    /** Peers count as idle while they use less than this part of the slots, one in ten, */
    private static final int IDLE_PART = 10;

    /** and have done so for this long: work comes in bursts, so one report of next to nothing says little. */
    private static final long IDLE_NANOS = Duration.ofSeconds(3).toNanos();

    private final Map<EndpointRecord, Counted> members = new HashMap<>();
    private final SlotPool readySlots;
    private int usableEndpoints;
    private int usableSlots;
    private int quarantined;
    private int peersInFlight;
    private long peersBusyNanos = Long.MIN_VALUE;

    DomainPool(PlacementStrategy strategy) {
        readySlots = SlotPool.create(strategy);
    }

    /** Adds an endpoint, or updates it. */
    void update(EndpointRecord endpoint, long nowNanos) {
        Counted now = Counted.of(endpoint);
        count(members.put(endpoint, now), -1);
        count(now, 1);
        if (peersBusyNanos == Long.MIN_VALUE || peersInFlight * IDLE_PART >= usableSlots) {
            peersBusyNanos = nowNanos;
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

    /** Returns how many endpoints may get work at all, full or not. */
    int usableEndpoints() {
        return usableEndpoints;
    }

    /** Returns the slots of the open endpoints. */
    int usableSlots() {
        return usableSlots;
    }

    /**
     * Returns whether one more may go into quarantine.
     *
     * <p>Guards against a fault that shows at many endpoints but is none of theirs, a bad kind or a broken network,
     * putting out a whole failure domain: most endpoints stay, whatever is believed of them.
     */
    boolean canQuarantineOne() {
        int most = Math.max(1, members.size() / HealthPolicy.ENDPOINTS_PER_QUARANTINE);
        return quarantined < most && usableEndpoints > 1;
    }

    /**
     * Returns whether peers use next to nothing here, as they last reported.
     *
     * <p>Then the slots that are otherwise left to them would stay empty while this node's work waits: one node alone
     * under load, because the balancer or the callers prefer it, could never fill the failure domain.
     */
    boolean arePeersIdle(long nowNanos) {
        return peersBusyNanos != Long.MIN_VALUE && nowNanos - peersBusyNanos >= IDLE_NANOS;
    }

    /** Returns the slots of the endpoints that may get a task now. */
    SlotPool readySlots() {
        return readySlots;
    }

    private void count(Counted counted, int sign) {
        if (counted != null) {
            usableEndpoints += counted.open ? sign : 0;
            usableSlots += counted.open ? sign * counted.slots : 0;
            quarantined += counted.quarantined ? sign : 0;
            peersInFlight += sign * counted.peersInFlight;
        }
    }

    private record Counted(boolean open, int slots, boolean quarantined, int peersInFlight) {
        static Counted of(EndpointRecord endpoint) {
            return new Counted(
                    endpoint.condition().isUsable(),
                    endpoint.slots().slots(),
                    endpoint.countsAsQuarantined(),
                    endpoint.slots().peersInFlight());
        }
    }
}
