package org.tarragonarch.core.placing;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.Timers;

/** The endpoints of one failure domain under this node's token. */
final class PlacedShard {
    /** How long endpoints may be silent before a node takes them to be unreachable: three polls. */
    private static final long REACH_MILLIS = 600;

    private final FencingToken token;
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final EndpointListener events;
    private final ProgressReports progress;
    private final ShareTally tally = new ShareTally();
    private final long openedAtMillis;
    private final Map<EndpointId, HeldEndpoint> endpoints = new LinkedHashMap<>();
    private final UnansweredStarts unanswered = new UnansweredStarts();

    PlacedShard(
            FencingToken token,
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            EndpointListener events,
            ProgressReports progress) {
        this.token = token;
        this.settings = settings;
        this.orders = orders;
        this.timers = timers;
        this.events = events;
        this.progress = progress;
        this.openedAtMillis = timers.nowMillis();
    }

    FencingToken token() {
        return token;
    }

    /** Returns what runs on the endpoints take, by share. */
    ShareTally tally() {
        return tally;
    }

    Collection<HeldEndpoint> endpoints() {
        return endpoints.values();
    }

    /** Updates the endpoints of the domain. */
    void update(Collection<EndpointEntry> listed) {
        Set<EndpointId> ids = new HashSet<>();
        for (EndpointEntry entry : listed) {
            ids.add(entry.id());
            HeldEndpoint known = endpoints.get(entry.id());
            if (known == null || known.isSucceededBy(entry)) {
                EndpointLink link = new EndpointLink(entry, token, settings, orders, timers);
                HeldEndpoint added = new HeldEndpoint(link, events, progress, unanswered, tally);
                endpoints.put(entry.id(), added);
                added.open();
            } else {
                known.update(entry);
            }
        }
        endpoints.entrySet().removeIf(known -> !ids.contains(known.getKey()) && forget(known.getValue()));
    }

    /** Gives no more orders; what runs is left to the next holder, or to its lease. */
    void close() {
        endpoints.values().forEach(HeldEndpoint::close);
    }

    /** Gives no more orders, and takes what runs for over when its lease has certainly run out. */
    void abandon() {
        endpoints.values().forEach(HeldEndpoint::abandon);
    }

    /** Returns whether no run of the job can be on any of the endpoints but those that may be taken over. */
    boolean hasOnlyAdoptableRuns(JobId job) {
        return endpoints.values().stream().allMatch(endpoint -> endpoint.hasOnlyAdoptableRuns(job));
    }

    /** Returns whether no endpoint has answered although this node has asked them for long enough. */
    boolean isUnreachable() {
        if (timers.nowMillis() - openedAtMillis < REACH_MILLIS) {
            return false;
        }
        for (HeldEndpoint endpoint : endpoints.values()) {
            if (endpoint.hasAnswered()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the processor time that is free on the endpoints that take tasks, in thousandths of a core of an endpoint
     * of speed 1.
     */
    long freeMilliCores() {
        long now = timers.nowMillis();
        long free = 0;
        for (HeldEndpoint endpoint : endpoints.values()) {
            free += endpoint.accepts(Resources.NONE, now)
                    ? Math.round(endpoint.freeCapacity().milliCores()
                            * endpoint.speed().classSpeed())
                    : 0;
        }
        return free;
    }

    /** Returns the most processor time that is free on one endpoint that takes tasks, in thousandths of a core. */
    long largestFreeMilliCores(long now) {
        long roomiest = 0;
        for (HeldEndpoint endpoint : endpoints.values()) {
            long free = endpoint.freeCapacity().milliCores();
            if (free > roomiest && endpoint.accepts(Resources.NONE, now)) {
                roomiest = free;
            }
        }
        return roomiest;
    }

    private static boolean forget(HeldEndpoint endpoint) {
        endpoint.retire();
        if (endpoint.reservedCapacity().isEmpty()) {
            endpoint.close();
            return true;
        }
        return false;
    }
}
