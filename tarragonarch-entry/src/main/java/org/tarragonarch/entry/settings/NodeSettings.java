package org.tarragonarch.entry.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.file.Path;
import java.util.Optional;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * The settings of one node, as its file says.
 *
 * @param node the node's name
 * @param domain the failure domain it stands in
 * @param callerAddress where callers come
 * @param adminAddress where operators and scrapers come
 * @param peerAddress where other nodes come
 * @param platformAddress where the platform listens
 * @param policy the times and bounds of the core
 * @param limits what clients and bodies may take up
 * @param traceFile where every event is recorded, if at all
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
    /** Checks the parts. */
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
