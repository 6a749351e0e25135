package org.tarragonarch.entry.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.file.Path;
import java.util.Optional;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * The settings of one node.
 *
 * @param node the name of the node
 * @param domain the failure domain of the node
 * @param callerAddress the listen address for callers
 * @param adminAddress the listen address for operators and scrapers
 * @param peerAddress the listen address for other nodes
 * @param platformAddress the address of the platform
 * @param policy the durations and limits of the core
 * @param limits the resource limits
 * @param traceFile the file that records every event; empty to record none
 */
public record NodeSettings(
        NodeId node,
        FailureDomain domain,
        Address callerAddress,
        Address adminAddress,
        Address peerAddress,
        Address platformAddress,
        NodePolicy policy,
        NodeLimits limits,
        Optional<Path> traceFile) {
    /** Creates settings; no component may be null. */
    public NodeSettings {
        checkNotNull(node, "node");
        checkNotNull(domain, "domain");
        checkNotNull(callerAddress, "callerAddress");
        checkNotNull(adminAddress, "adminAddress");
        checkNotNull(peerAddress, "peerAddress");
        checkNotNull(platformAddress, "platformAddress");
        checkNotNull(policy, "policy");
        checkNotNull(limits, "limits");
        checkNotNull(traceFile, "traceFile");
    }
}
