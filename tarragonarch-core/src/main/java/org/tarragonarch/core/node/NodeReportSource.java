package org.tarragonarch.core.node;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.core.configuration.ConfigurationReplica;
import org.tarragonarch.core.endpoint.EndpointViews;
import org.tarragonarch.core.lifecycle.Lifecycle;
import org.tarragonarch.core.membership.ReportSource;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;

/** Supplies the content of the reports that this node sends to its peers. */
final class NodeReportSource implements ReportSource {
    private final Lifecycle lifecycle;
    private final ConfigurationReplica configuration;
    private final EndpointViews endpoints;

    NodeReportSource(Lifecycle lifecycle, ConfigurationReplica configuration, EndpointViews endpoints) {
        this.lifecycle = lifecycle;
        this.configuration = configuration;
        this.endpoints = endpoints;
    }

    @Override
    public NodePhase phase() {
        return lifecycle.phase();
    }

    @Override
    public ConfigurationVersion configuration() {
        return configuration.version();
    }

    @Override
    public ImmutableList<EndpointLoad> loads() {
        return endpoints.loads();
    }

    @Override
    public ImmutableSet<EndpointId> leaving() {
        return endpoints.leaving();
    }

    @Override
    public ImmutableSet<EndpointId> quarantined() {
        return endpoints.quarantined();
    }
}
