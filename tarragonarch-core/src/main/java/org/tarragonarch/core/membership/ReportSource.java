package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;

/** What a node has to report, asked for only when a report is due. */
public interface ReportSource {
    /** Returns the node's phase. */
    NodePhase phase();

    /** Returns the version in force. */
    ConfigurationVersion configuration();

    /** Returns the in-flight count of each endpoint where it is not 0. */
    ImmutableList<EndpointLoad> loads();

    /** Returns the endpoints known to be leaving. */
    ImmutableSet<EndpointId> leaving();

    /** Returns the endpoints in quarantine. */
    ImmutableSet<EndpointId> quarantined();
}
