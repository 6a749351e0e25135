package org.tarragonarch.core.cluster;

import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.EndpointEntry;

/** A VM with one endpoint, through all its incarnations. */
final class CrashSite {
    private EndpointEntry entry;
    private FakeEndpoint endpoint;
    private int ids = 1;

    CrashSite(EndpointEntry entry, FakeEndpoint endpoint) {
        this.entry = entry;
        this.endpoint = endpoint;
    }

    EndpointId id() {
        return entry.id();
    }

    FakeEndpoint endpoint() {
        return endpoint;
    }

    /** Returns the entry of the present incarnation. */
    EndpointEntry entry() {
        return entry.withIncarnation(new EndpointIncarnation(entry.id(), endpoint.startedMillis()));
    }

    /** Returns the id that the endpoint has after its next start under another id. */
    String nextId() {
        return entry.id().value().split("x")[0] + "x" + (ids + 1);
    }

    void replace(FakeEndpoint by) {
        entry = entry.withIncarnation(new EndpointIncarnation(EndpointId.of(nextId()), by.startedMillis()));
        ids++;
        endpoint = by;
    }
}
