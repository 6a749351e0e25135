package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The first frame of each end of a connection: who speaks; repeated whenever an end had nothing else to say for long.
 *
 * @param protocolVersion the version of the protocol that the sender speaks
 * @param node the sender
 * @param incarnation this run of the sender
 * @param domain where the sender stands
 */
public record Hello(int protocolVersion, NodeId node, Incarnation incarnation, FailureDomain domain) implements Frame {
    /** The version of the protocol that this code speaks; it changes with any change to the layout of a frame. */
    public static final int PROTOCOL_VERSION = 5;

    /** Checks the parts. */
    public Hello {
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(domain, "domain");
    }

    /** Returns the hello of a node that speaks {@link #PROTOCOL_VERSION}. */
    public static Hello of(NodeId node, Incarnation incarnation, FailureDomain domain) {
        return new Hello(PROTOCOL_VERSION, node, incarnation, domain);
    }
}
