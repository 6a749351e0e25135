package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.PeerReport;

/** The last report of each peer about endpoints; passes each change on, so that sums are updated incrementally. */
final class PeerViews {
    private final Map<NodeId, View> views = new HashMap<>();

    /** Records a report, in time proportional to its size. */
    void update(PeerReport report, long nowNanos, Listener listener) {
        View view = views.computeIfAbsent(report.from(), key -> new View());
        view.reportedNanos = nowNanos;
        if (report.full()) {
            Set<EndpointId> reported = new HashSet<>();
            report.loads().forEach(load -> reported.add(load.endpoint()));
            ImmutableSet.copyOf(view.loads.keySet()).stream()
                    .filter(endpoint -> !reported.contains(endpoint))
                    .forEach(endpoint -> setLoad(view, endpoint, 0, listener));
        }
        for (EndpointLoad load : report.loads()) {
            setLoad(view, load.endpoint(), load.inFlight(), listener);
        }
        for (EndpointId endpoint : report.leaving()) {
            // A repeated entry is ignored: the peer has not contacted the endpoint again and repeats old information.
            if (!view.leaving.contains(endpoint)) {
                listener.leavingReported(endpoint, report.from());
            }
        }
        view.leaving = report.leaving();
        setQuarantined(view, report.quarantined(), listener);
    }

    /** Discards the last report of a node, if there is one. */
    void forget(NodeId node, Listener listener) {
        View view = views.remove(node);
        if (view != null) {
            ImmutableSet.copyOf(view.loads.keySet()).forEach(endpoint -> setLoad(view, endpoint, 0, listener));
            setQuarantined(view, ImmutableSet.of(), listener);
        }
    }

    /** Discards reports received before the given time. */
    void forgetBefore(long minReportedNanos, Listener listener) {
        views.entrySet().stream()
                .filter(entry -> entry.getValue().reportedNanos < minReportedNanos)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(node -> forget(node, listener));
    }

    /** Returns the number of in-flight tasks of all peers at an endpoint. */
    int inFlight(EndpointId endpoint) {
        return views.values().stream()
                .mapToInt(view -> view.loads.getOrDefault(endpoint, 0))
                .sum();
    }

    /** Returns the peers that hold an endpoint in quarantine. */
    ImmutableSet<NodeId> peersQuarantining(EndpointId endpoint) {
        return views.entrySet().stream()
                .filter(entry -> entry.getValue().quarantined.contains(endpoint))
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void setLoad(View view, EndpointId endpoint, int inFlight, Listener listener) {
        Integer before = inFlight == 0 ? view.loads.remove(endpoint) : view.loads.put(endpoint, inFlight);
        int delta = inFlight - (before == null ? 0 : before);
        if (delta != 0) {
            listener.loadChanged(endpoint, delta);
        }
    }

    private void setQuarantined(View view, ImmutableSet<EndpointId> quarantined, Listener listener) {
        ImmutableSet<EndpointId> before = view.quarantined;
        view.quarantined = quarantined;
        quarantined.stream()
                .filter(endpoint -> !before.contains(endpoint))
                .forEach(endpoint -> listener.quarantineChanged(endpoint, 1));
        before.stream()
                .filter(endpoint -> !quarantined.contains(endpoint))
                .forEach(endpoint -> listener.quarantineChanged(endpoint, -1));
    }

    /** Receives each change in the reports of peers. */
    interface Listener {
        void loadChanged(EndpointId endpoint, int delta);

        void leavingReported(EndpointId endpoint, NodeId peer);

        void quarantineChanged(EndpointId endpoint, int delta);
    }

    private static final class View {
        private final Map<EndpointId, Integer> loads = new HashMap<>();
        private ImmutableSet<EndpointId> leaving = ImmutableSet.of();
        private ImmutableSet<EndpointId> quarantined = ImmutableSet.of();
        private long reportedNanos;
    }
}
