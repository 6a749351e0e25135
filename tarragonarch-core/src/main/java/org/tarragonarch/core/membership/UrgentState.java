package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.NodePhase;

/** The part of a report whose changes are sent at once; every report contains all of it. */
record UrgentState(
        NodePhase phase,
        ConfigurationVersion configuration,
        ImmutableSet<EndpointId> leaving,
        ImmutableSet<EndpointId> quarantined) {
    static UrgentState of(ReportSource source) {
        return new UrgentState(source.phase(), source.configuration(), source.leaving(), source.quarantined());
    }
}
