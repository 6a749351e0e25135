package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;

/** Supplies the contents of a node's reports; called only when a report is due. */
public interface ReportSource {
    /** Returns the node's phase. */
    NodePhase phase();

    /** Returns the version of the configuration in force. */
    ConfigurationVersion configuration();

    /** Returns the number of tasks in flight at each endpoint that has any. */
    ImmutableList<EndpointLoad> loads();

    /** Returns the endpoints known to be leaving. */
    ImmutableSet<EndpointId> leaving();

    /** Returns the endpoints in quarantine. */
    ImmutableSet<EndpointId> quarantined();
}
