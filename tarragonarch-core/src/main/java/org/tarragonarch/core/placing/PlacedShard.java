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
    /** The time without any answer after which a shard is considered unreachable: three polls. */
    private static final long UNREACHABLE_AFTER_MILLIS = 600;

    private final FencingToken token;
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final OriginAuthority authority;
    private final EndpointListener listener;
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
            OriginAuthority authority,
            EndpointListener listener,
            ProgressReports progress) {
        this.token = token;
        this.settings = settings;
        this.orders = orders;
        this.timers = timers;
        this.authority = authority;
        this.listener = listener;
        this.progress = progress;
        this.openedAtMillis = timers.nowMillis();
    }

    FencingToken token() {
        return token;
    }

    /** Returns the capacity in use on the endpoints by share. */
    ShareTally tally() {
        return tally;
    }

    Collection<HeldEndpoint> endpoints() {
        return endpoints.values();
    }

    /** Applies a new list of the endpoints of the domain: opens, updates and retires endpoints. */
    void update(Collection<EndpointEntry> listed) {
        Set<EndpointId> ids = new HashSet<>();
        for (EndpointEntry entry : listed) {
            ids.add(entry.id());
            HeldEndpoint known = endpoints.get(entry.id());
            if (known == null || known.isSucceededBy(entry)) {
                EndpointLink link = new EndpointLink(entry, token, settings, orders, timers, authority);
                HeldEndpoint added = new HeldEndpoint(link, listener, progress, unanswered, tally);
                endpoints.put(entry.id(), added);
                added.open();
            } else {
                known.update(entry);
            }
        }
        endpoints.entrySet().removeIf(known -> !ids.contains(known.getKey()) && retire(known.getValue()));
    }

    /** Sends no more calls; runs are left to the next holder, or end when their lease expires. */
    void close() {
        endpoints.values().forEach(HeldEndpoint::close);
    }

    /** Sends no more calls, and ends the runs as lapsed when their lease has certainly expired. */
    void abandon() {
        endpoints.values().forEach(HeldEndpoint::abandon);
    }

    /** Returns the highest number of a run of the job that an unanswered order may still start; 0 if there is none. */
    int lastUnansweredRun(JobId job) {
        return unanswered.lastRunNumber(job, timers.nowMillis());
    }

    /** Returns whether all lists were read and every run of the job in them is adopted or adoptable. */
    boolean hasOnlyAdoptableRuns(JobId job) {
        return endpoints.values().stream().allMatch(endpoint -> endpoint.hasOnlyAdoptableRuns(job));
    }

    /** Returns whether the shard was opened long enough ago and none of its endpoints has ever answered. */
    boolean isUnreachable() {
        if (timers.nowMillis() - openedAtMillis < UNREACHABLE_AFTER_MILLIS) {
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
     * Returns the free processor time of the endpoints that accept tasks, in thousandths of a core of an endpoint of
     * speed 1.
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

    /** Returns the largest free processor time of any endpoint that accepts tasks, in thousandths of a core. */
    long largestFreeMilliCores(long now) {
        long largest = 0;
        for (HeldEndpoint endpoint : endpoints.values()) {
            long free = endpoint.freeCapacity().milliCores();
            if (free > largest && endpoint.accepts(Resources.NONE, now)) {
                largest = free;
            }
        }
        return largest;
    }

    /** Retires an endpoint and returns whether it was idle and is closed. */
    private static boolean retire(HeldEndpoint endpoint) {
        endpoint.retire();
        if (endpoint.reservedCapacity().isEmpty()) {
            endpoint.close();
            return true;
        }
        return false;
    }
}
