package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The periodic report of one node to another; it is also the node's heartbeat.
 *
 * @param from the reporting node
 * @param incarnation the incarnation of that node
 * @param sequence the number of the report within the incarnation, by which late reports are recognised and dropped
 * @param domain the failure domain of the node
 * @param phase the phase of the node
 * @param configuration the version in force on the node
 * @param loads the in-flight counts; only those that changed since the last report unless {@code full}
 * @param full whether endpoints missing from {@code loads} have nothing in flight
 * @param leaving the endpoints that the node knows to be leaving
 * @param quarantined the endpoints that the node has put in quarantine
 */
public record PeerReport(
        NodeId from,
        Incarnation incarnation,
        long sequence,
        FailureDomain domain,
        NodePhase phase,
        ConfigurationVersion configuration,
        ImmutableList<EndpointLoad> loads,
        boolean full,
        ImmutableSet<EndpointId> leaving,
        ImmutableSet<EndpointId> quarantined) {
    /** Checks that no component is null and the sequence number is not negative. */
    public PeerReport {
        checkNotNull(from, "from");
        checkNotNull(incarnation, "incarnation");
        checkArgument(sequence >= 0, "sequence %s is negative", sequence);
        checkNotNull(domain, "domain");
        checkNotNull(phase, "phase");
        checkNotNull(configuration, "configuration");
        checkNotNull(loads, "loads");
        checkNotNull(leaving, "leaving");
        checkNotNull(quarantined, "quarantined");
    }
}
