package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;

/**
 * The sequence of reports to one peer, with the loads already sent, so that a report contains only changed loads.
 *
 * <p>The reports to each peer are numbered without gaps, so that the peer detects a lost one. After the loss of a delta
 * some loads are outdated at the peer until the next full report, which is sent after at most {@value #FULL_EVERY}
 * reports with loads.
 */
final class ReportStream {
    /** The number of reports with loads after which a full one is sent. */
    static final int FULL_EVERY = 8;

    private final Map<EndpointId, Integer> sentLoads = new HashMap<>();
    private long sequence;
    private int reportsSinceFull;
    private boolean fullDue = true;
    private long loadsSentNanos = Long.MIN_VALUE;

    /** Advances to the next report and returns its number. */
    long nextSequence() {
        return ++sequence;
    }

    /** Returns when loads were last sent to the peer. */
    long loadsSentNanos() {
        return loadsSentNanos;
    }

    /** Makes the next report with loads a full one. */
    void requireFullReport() {
        fullDue = true;
    }

    /** Returns the loads to include in a report sent now; takes time proportional to the number of endpoints in use. */
    LoadUpdate pendingLoads(ImmutableMap<EndpointId, Integer> now) {
        if (!fullDue && reportsSinceFull < FULL_EVERY) {
            ImmutableList<EndpointLoad> changes = changes(now);
            if (changes.size() <= now.size()) {
                return new LoadUpdate(changes, false);
            }
        }
        ImmutableList.Builder<EndpointLoad> all = ImmutableList.builder();
        now.forEach((endpoint, inFlight) -> all.add(new EndpointLoad(endpoint, inFlight)));
        return new LoadUpdate(all.build(), true);
    }

    /** Records that the loads are sent to the peer. */
    void recordSent(LoadUpdate update, long nowNanos) {
        loadsSentNanos = nowNanos;
        fullDue = false;
        reportsSinceFull = update.full() ? 0 : reportsSinceFull + 1;
        if (update.full()) {
            sentLoads.clear();
        }
        for (EndpointLoad load : update.loads()) {
            if (load.inFlight() == 0) {
                sentLoads.remove(load.endpoint());
            } else {
                sentLoads.put(load.endpoint(), load.inFlight());
            }
        }
    }

    private ImmutableList<EndpointLoad> changes(ImmutableMap<EndpointId, Integer> now) {
        ImmutableList.Builder<EndpointLoad> changes = ImmutableList.builder();
        now.forEach((endpoint, inFlight) -> {
            if (!inFlight.equals(sentLoads.get(endpoint))) {
                changes.add(new EndpointLoad(endpoint, inFlight));
            }
        });
        for (EndpointId endpoint : sentLoads.keySet()) {
            if (!now.containsKey(endpoint)) {
                changes.add(new EndpointLoad(endpoint, 0));
            }
        }
        return changes.build();
    }
}
