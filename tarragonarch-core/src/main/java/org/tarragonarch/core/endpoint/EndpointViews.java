package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.function.Predicate;
import org.tarragonarch.core.status.EndpointStatus;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;

/** Views of the endpoints for reports to peers and for operators. */
public final class EndpointViews {
    private final Map<EndpointId, EndpointRecord> records;

    EndpointViews(Map<EndpointId, EndpointRecord> records) {
        this.records = records;
    }

    /** Returns the number of in-flight tasks of this node at each endpoint that has any. */
    public ImmutableList<EndpointLoad> loads() {
        return records.values().stream()
                .filter(endpoint -> endpoint.slots().ownInFlight() > 0)
                .map(endpoint ->
                        new EndpointLoad(endpoint.id(), endpoint.slots().ownInFlight()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the endpoints known to be leaving. */
    public ImmutableSet<EndpointId> leaving() {
        return idsWhere(EndpointRecord::isLeaving);
    }

    /**
     * Returns the endpoints that this node holds in quarantine, or on trial after it, because of failed tasks.
     *
     * <p>Endpoints that this node cannot reach are not included, since another node may reach them.
     */
    public ImmutableSet<EndpointId> quarantined() {
        return idsWhere(EndpointRecord::isQuarantinedOrOnTrial);
    }

    /** Returns the status of each endpoint. */
    public ImmutableList<EndpointStatus> status() {
        return records.values().stream()
                .map(endpoint -> new EndpointStatus(
                        endpoint.id(),
                        endpoint.vm().domain(),
                        endpoint.vm().address(),
                        endpoint.vm().slots(),
                        endpoint.slots().ownInFlight(),
                        endpoint.condition().word(),
                        endpoint.reason()))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableSet<EndpointId> idsWhere(Predicate<EndpointRecord> condition) {
        return records.values().stream()
                .filter(condition)
                .map(EndpointRecord::id)
                .collect(ImmutableSet.toImmutableSet());
    }
}
