package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The identity of a node.
 *
 * @param node the node's name
 * @param incarnation the incarnation of this process of the node
 * @param domain the failure domain of the node
 * @param peerAddress the address at which the node listens for other nodes
 */
public record NodeIdentity(NodeId node, Incarnation incarnation, FailureDomain domain, Address peerAddress) {
    /**
     * Creates an identity.
     *
     * @throws NullPointerException if an argument is null
     */
    public NodeIdentity {
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(domain, "domain");
        checkNotNull(peerAddress, "peerAddress");
    }
}
