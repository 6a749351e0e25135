package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * Who a node is, as its settings say.
 *
 * @param node the node's name
 * @param incarnation this run of the node
 * @param domain the failure domain it stands in
 * @param peerAddress where it listens for other nodes
 */
public record NodeIdentity(NodeId node, Incarnation incarnation, FailureDomain domain, Address peerAddress) {
    /** Checks the parts. */
    public NodeIdentity {
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(domain, "domain");
        checkNotNull(peerAddress, "peerAddress");
    }
}
