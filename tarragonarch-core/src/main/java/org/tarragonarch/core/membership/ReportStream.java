package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;

/**
 * The numbers of the reports to one peer, and the loads it was sent, so that a report names only what changed.
 *
 * <p>Reports are numbered without gaps for each peer, so that the peer can tell a lost one by its number. A lost delta
 * leaves some loads old at the peer until the next full report, which comes after {@value #FULL_EVERY} reports with
 * loads at the latest.
 */
final class ReportStream {
    /** A full report is sent after this many reports with loads. */
    static final int FULL_EVERY = 8;

    private final Map<EndpointId, Integer> recordSent = new HashMap<>();
    private long sequence;
    private int sinceFull;
    private boolean fullDue = true;
    private long loadsSentNanos = Long.MIN_VALUE;

    /** Returns the number of the next report. */
    long nextSequence() {
        return ++sequence;
    }

    /** Returns when the peer was last sent loads. */
    long loadsSentNanos() {
        return loadsSentNanos;
    }

    /** Makes the next report with loads a full one. */
    void requireFullReport() {
        fullDue = true;
    }

    /** Returns what to report of the loads, if they are sent now; costs time in proportion to the endpoints in use. */
    LoadUpdate pendingLoads(ImmutableMap<EndpointId, Integer> now) {
        if (!fullDue && sinceFull < FULL_EVERY) {
            ImmutableList<EndpointLoad> changes = changes(now);
            if (changes.size() <= now.size()) {
                return new LoadUpdate(changes, false);
            }
        }
        ImmutableList.Builder<EndpointLoad> all = ImmutableList.builder();
        now.forEach((endpoint, inFlight) -> all.add(new EndpointLoad(endpoint, inFlight)));
        return new LoadUpdate(all.build(), true);
    }

    /** Records that this is sent to the peer. */
    void recordSent(LoadUpdate news, long nowNanos) {
        loadsSentNanos = nowNanos;
        fullDue = false;
        sinceFull = news.full() ? 0 : sinceFull + 1;
        if (news.full()) {
            recordSent.clear();
        }
        for (EndpointLoad load : news.loads()) {
            if (load.inFlight() == 0) {
                recordSent.remove(load.endpoint());
            } else {
                recordSent.put(load.endpoint(), load.inFlight());
            }
        }
    }

    private ImmutableList<EndpointLoad> changes(ImmutableMap<EndpointId, Integer> now) {
        ImmutableList.Builder<EndpointLoad> changes = ImmutableList.builder();
        now.forEach((endpoint, inFlight) -> {
            if (!inFlight.equals(recordSent.get(endpoint))) {
                changes.add(new EndpointLoad(endpoint, inFlight));
            }
        });
        for (EndpointId endpoint : recordSent.keySet()) {
            if (!now.containsKey(endpoint)) {
                changes.add(new EndpointLoad(endpoint, 0));
            }
        }
        return changes.build();
    }
}
