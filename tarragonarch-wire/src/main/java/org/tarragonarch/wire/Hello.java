package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The first frame that each end of a connection sends: the identity of the sender. An end repeats it as a keep-alive
 * when it has had nothing else to send for some time.
 *
 * @param protocolVersion the protocol version of the sender
 * @param node the sender
 * @param incarnation the incarnation of the sender
 * @param domain the failure domain of the sender
 */
public record Hello(int protocolVersion, NodeId node, Incarnation incarnation, FailureDomain domain) implements Frame {
    /** The protocol version that this code implements; it must change with every change to the layout of a frame. */
    public static final int PROTOCOL_VERSION = 7;

    /** Checks that no component is null. */
    public Hello {
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(domain, "domain");
    }

    /** Returns the hello of a node with {@link #PROTOCOL_VERSION}. */
    public static Hello of(NodeId node, Incarnation incarnation, FailureDomain domain) {
        return new Hello(PROTOCOL_VERSION, node, incarnation, domain);
    }
}
